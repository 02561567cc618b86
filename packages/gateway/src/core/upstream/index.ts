/** Connections to database instances, independent of their protocol. */
export * from './connection-lost-error.js';
export * from './instance-connection.js';
export * from './types.js';
