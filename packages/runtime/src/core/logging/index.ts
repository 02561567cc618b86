/** Structured logs: short sentences with a fixed prefix for each part. */
export * from './non-blocking-log-writer.js';
export * from './logger.js';
export * from './types.js';
