/** Reproducible load and recorders of its results. */
export * from './closed-loop.js';
export * from './latency-recorder.js';
export * from './open-loop.js';
export * from './process-usage.js';
export * from './random-source.js';
export type * from './types.js';
