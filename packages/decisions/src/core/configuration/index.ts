/** Acceptance of configuration changes and their propagation to all proxies. */
export * from './acceptance.js';
export * from './delegation.js';
export * from './delta-pages.js';
export * from './head-sync.js';
export * from './history.js';
export * from './zone-reports.js';
export * from './proposal.js';
export * from './store-layout.js';
