/** Confirmation of writes by a majority. */
export * from './replication-lag-tracker.js';
export * from './write-confirmer.js';
