/** Automatic and planned changes of a group's primary. */
export * from './election-attempt-types.js';
export * from './election-attempt.js';
export * from './observe-report.js';
export * from './planned-change.js';
export * from './planned-change-types.js';
export * from './policy.js';
export * from './step-failover.js';
export * from './suspicion.js';
export * from './types.js';
