/** The lifecycle of a gateway process. */
export * from './gateway-adapters.js';
export * from './gateway-process.js';
