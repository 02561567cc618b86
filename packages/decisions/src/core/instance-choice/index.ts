/** Chooses the instance for a read and the position that it must have reached. */
export * from './rank-instances.js';
export * from './replication-lag-estimate.js';
export * from './commit-upper-bound.js';
export * from './list-completeness.js';
export * from './primary-position-history.js';
export * from './types.js';
