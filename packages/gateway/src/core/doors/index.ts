/** What listens for callers and for the balancer. */
export * from './caller-door.js';
export * from './readiness-door.js';
