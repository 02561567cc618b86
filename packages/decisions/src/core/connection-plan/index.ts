/** How the owner's limit on connections is divided among the proxies. */
export * from './connection-share.js';
export * from './connection-holder-tracker.js';
