/** Which proxies are alive, and what they say of the primaries. */
export * from './known-proxies.js';
export * from './member-task.js';
export * from './members.js';
export * from './types.js';
export * from './view-lease-task.js';
