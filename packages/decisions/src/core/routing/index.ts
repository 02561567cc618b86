/** Chooses the instance for a read by age bound, position, distance and load. */
export * from './freshness.js';
export * from './replica-lag.js';
export * from './route-read.js';
export * from './types.js';
