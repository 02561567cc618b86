/**
 * Client interface of the platform's store, and the watcher and mirror of its
 * content.
 */
export * from './coordination-store.js';
export * from './limited-key.js';
export * from './store-client.js';
export * from './store-types.js';
export * from './store-watcher.js';
export * from './store-prefix-listener.js';
export * from './store-mirror.js';
