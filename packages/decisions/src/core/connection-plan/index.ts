/** Division of the connection limit of an instance among the proxies. */
export * from './connection-share.js';
export * from './connection-holder-tracker.js';
export * from './owner-history.js';
export * from './owner-shares.js';
export * from './share-ledger.js';
