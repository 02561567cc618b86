/** The platform's store, and what the gateway follows in it. */
export * from './coordination-store.js';
export * from './store-watcher.js';
export * from './store-prefix-listener.js';
export * from './store-mirror.js';
