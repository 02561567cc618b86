/** Links between proxies: many requests over one socket. */
export * from './link-dialer.js';
export * from './link-server.js';
export * from './link.js';
export * from './types.js';
