/** Hybrid logical clocks, which order events across all processes. */
export * from './hybrid-clock.js';
export type * from './types.js';
