/** A gateway process from start to stop. */
export * from './gateway-adapters.js';
export * from './gateway-process.js';
