/** Terms, log positions and the primary of a group. */
export * from './log-position.js';
export * from './types.js';
export * from './voter-sets.js';
