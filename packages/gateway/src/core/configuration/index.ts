/** What operators have declared. */
export * from './latest-configuration.js';
export * from './types.js';
