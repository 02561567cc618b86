/** Counters, durations and gauges in the Prometheus text format. */
export * from './definitions.js';
export * from './metrics-registry.js';
export * from './prometheus-text.js';
export * from './windowed-histogram.js';
