/**
 * Live and known proxies, their published state, and the view lease of this
 * proxy.
 */
export * from './known-proxies.js';
export * from './known-proxy-recovery.js';
export * from './member-registration-task.js';
export * from './member-list.js';
export * from './types.js';
export * from './view-lease-task.js';
