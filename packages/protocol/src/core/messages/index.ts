/** The typed messages between proxies. */
export * from './configuration-messages.js';
export * from './execution-messages.js';
export * from './failover-messages.js';
export * from './peer-messages.js';
export * from './shared-schemas.js';
