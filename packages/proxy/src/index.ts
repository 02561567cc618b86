/** The parts of the proxy, for its own binary and for tests. */
export type * from './core/context/index.js';
export * from './core/groups/index.js';
export * from './core/instrumentation/index.js';
export * from './core/metrics/index.js';
export * from './core/settings/index.js';
export * from './core/store/index.js';
export * from './core/timeline/index.js';
export * from './core/upstream/index.js';
export * from './core/vm-list/index.js';
export * from './core/confirmation/index.js';
export * from './core/observations/index.js';
export * from './core/pool/index.js';
export * from './core/process/index.js';
export * from './main.js';
