/** The operator API, over HTTP and JSON. */
export * from './operator-server.js';
export * from './version-conflict-error.js';
