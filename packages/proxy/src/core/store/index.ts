/** Access to the platform's key-value store. */
export * from './http-platform-store.js';
export * from './instrumented-store.js';
export * from './platform-store.js';
