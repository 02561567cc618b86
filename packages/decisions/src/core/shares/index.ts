/**
 * Connection shares: how many connections each proxy may hold to an instance.
 */
export * from './share-plan.js';
export * from './share-record.js';
export * from './share-swap.js';
