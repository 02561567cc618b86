/** Division of the connection limit of an instance among the proxies. */
export * from './connection-share.js';
export * from './connection-holder-tracker.js';
