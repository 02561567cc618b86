/** Stand-ins for the upstreams, the platform and the network, for tests. */
export * from './core/fleet/index.js';
export * from './core/history/index.js';
export * from './core/http/index.js';
export * from './core/instance/index.js';
export * from './core/relay/index.js';
export * from './core/store/index.js';
export * from './core/vm-list/index.js';
