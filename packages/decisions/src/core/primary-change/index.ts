/** Decides when the primary of a group is replaced, and by which instance. */
export * from './absent-instances.js';
export * from './assumed-order.js';
export * from './change-expectation.js';
export * from './choose-target.js';
export * from './commit-verdict.js';
export * from './departed-instances.js';
export * from './held-reports.js';
export * from './least-commit-position.js';
export * from './outstanding-orders.js';
export * from './primary-suspicion.js';
export * from './record-of-term.js';
export * from './replacement-decision.js';
export * from './replicas-to-hold.js';
export * from './report-in-term.js';
export * from './types.js';
export * from './view-freshness.js';
