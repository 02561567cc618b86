/** Connections to the instances of groups. */
export * from './http-upstream-connection.js';
export * from './upstream-connection.js';
export * from './upstream-refused-error.js';
