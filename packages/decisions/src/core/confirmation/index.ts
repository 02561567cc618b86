/** Acknowledgement of a write by a majority of the instances in one term. */
export * from './replication-lag.js';
export * from './types.js';
export * from './waiting-write.js';
export * from './write-admission.js';
