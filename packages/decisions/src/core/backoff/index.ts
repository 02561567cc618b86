/** Exponential backoff with jitter. */
export * from './backoff.js';
