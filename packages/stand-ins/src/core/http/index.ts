/** HTTP services with fault tables that tests control. */
export * from './fault-table.js';
export * from './fault-injecting-http-service.js';
export * from './types.js';
