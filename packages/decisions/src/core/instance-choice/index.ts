/** Which instance a read goes to, and which position it must have. */
export * from './rank-instances.js';
export * from './commit-upper-bound.js';
export * from './primary-position-history.js';
export * from './types.js';
