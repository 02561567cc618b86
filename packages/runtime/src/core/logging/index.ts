/** Structured logs: short sentences with a fixed prefix for each part. */
export * from './bounded-output.js';
export * from './logger.js';
export * from './types.js';
