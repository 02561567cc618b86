/** Acceptance and distribution of the configuration, and its state per zone. */
export * from './change-acceptor.js';
export * from './latest-configuration.js';
export * from './control-plane.js';
export * from './delegate-election.js';
export * from './store-configuration-reader.js';
export * from './jitter.js';
export * from './peer-configuration-sync.js';
export * from './store-watcher.js';
export * from './zone-reporter.js';
export * from './zone-reports.js';
