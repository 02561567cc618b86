/** In-memory stand-in for the platform's key-value service. */
export type {CallCounts} from './call-counter.js';
export * from './leases.js';
export * from './platform-store-service.js';
export * from './settings.js';
