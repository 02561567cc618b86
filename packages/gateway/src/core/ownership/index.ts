/** Ownership of groups: which proxies hold connections to which group. */
export * from './group-ownership.js';
