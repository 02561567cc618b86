/** The gateway: proxies caller sessions to databases that replicate their own writes. */
export * from './core/configuration/index.js';
export * from './core/coordinator/index.js';
export * from './core/directory/index.js';
export * from './core/servers/index.js';
export * from './core/groups/index.js';
export * from './core/membership/index.js';
export * from './core/metrics/index.js';
export * from './core/pool/index.js';
export * from './core/primary-health/index.js';
export * from './core/process/index.js';
export * from './core/sessions/index.js';
export * from './core/settings/index.js';
export * from './core/store/index.js';
export * from './core/time/index.js';
export * from './core/upstream/index.js';
