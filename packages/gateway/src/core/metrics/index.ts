/** The metrics of the gateway. */
export * from './catalogue.js';
export * from './gateway-gauges.js';
export * from './gateway-metrics.js';
