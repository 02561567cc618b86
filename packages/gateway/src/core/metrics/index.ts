/** What the gateway counts and measures. */
export * from './catalogue.js';
export * from './gateway-gauges.js';
export * from './gateway-metrics.js';
