/** The platform's key-value service. */
export * from './http-platform-store.js';
export * from './instrumented-store.js';
export * from './platform-store.js';
