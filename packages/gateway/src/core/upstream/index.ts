/** Connections to database instances, whatever they speak. */
export * from './connection-lost-error.js';
export * from './instance-connection.js';
export * from './types.js';
