/** Settings of the proxy. */
export * from './settings-schema.js';
