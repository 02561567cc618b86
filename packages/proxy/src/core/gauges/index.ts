/** Gauges computed from the shared context. */
export * from './process-gauges.js';
