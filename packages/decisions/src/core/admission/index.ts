/** Admission control: which requests run, wait or are refused at an instance. */
export * from './admission-queue.js';
export * from './concurrency-limit.js';
export * from './fair-queue.js';
export type * from './types.js';
