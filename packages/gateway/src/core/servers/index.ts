/** What listens for callers and for the balancer. */
export * from './caller-server.js';
export * from './monitoring-servers.js';
