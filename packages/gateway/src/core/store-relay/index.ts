/** What proxies that own nothing learn of the store from those that follow it. */
export * from './store-relay-server.js';
export * from './store-relay-client.js';
export * from './messages.js';
