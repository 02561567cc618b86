/** Counters, durations and gauges in the Prometheus text format. */
export * from './catalogue.js';
export * from './failover-gap-tracker.js';
export * from './metrics-registry.js';
export * from './metrics-routes.js';
