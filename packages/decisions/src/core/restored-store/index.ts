/** Decides what still counts after the store was restored from a backup. */
export * from './fencing-token.js';
export * from './record-recovery.js';
export * from './store-generations.js';
