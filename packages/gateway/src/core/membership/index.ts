/** Which proxies are alive, and what they say of the primaries. */
export * from './known-proxies.js';
export * from './member-registration-task.js';
export * from './member-list.js';
export * from './types.js';
export * from './view-lease-task.js';
