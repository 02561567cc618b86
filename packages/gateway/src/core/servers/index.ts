/** Interfaces of the servers for callers, readiness and metrics. */
export * from './caller-server.js';
export * from './monitoring-servers.js';
