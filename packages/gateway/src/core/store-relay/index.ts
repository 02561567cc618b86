/**
 * Relay of store content from proxies that follow the store to proxies that own
 * no group.
 */
export * from './store-relay-server.js';
export * from './store-relay-client.js';
export * from './messages.js';
