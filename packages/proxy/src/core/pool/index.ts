/** Connection pools for the instances that this process owns. */
export * from './group-freshness-tracker.js';
export * from './instance-pool.js';
export * from './owned-instances.js';
