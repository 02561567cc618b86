/** State of each group of instances as cached by this proxy. */
export * from './fetch-replication-report.js';
export * from './acknowledged-commits.js';
export * from './commit-bound-probe.js';
export * from './commits-to-include.js';
export * from './database-group.js';
export * from './group-member.js';
export * from './primary-problem.js';
export * from './group-registry.js';
export * from './instance-candidate.js';
export * from './left-log.js';
export * from './primary-records.js';
export * from './types.js';
export * from './view-witnesses.js';
