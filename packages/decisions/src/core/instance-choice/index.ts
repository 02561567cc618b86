/** Which instance a read goes to, and which position it must have. */
export * from './choose-instance.js';
export * from './commit-bound.js';
export * from './observed-positions.js';
export * from './types.js';
