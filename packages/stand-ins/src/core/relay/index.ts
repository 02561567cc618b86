/** Simulated network between availability zones. */
export * from './network-relay.js';
export * from './settings.js';
