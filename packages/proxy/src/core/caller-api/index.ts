/** The caller API, over HTTP and JSON. */
export * from './caller-server.js';
export * from './readiness.js';
