/** The platform's store, and what the gateway follows in it. */
export * from './coordination-store.js';
export * from './store-follower.js';
export * from './store-section.js';
export * from './store-mirror.js';
