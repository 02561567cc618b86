/** Placement: which proxies hold connections to which instances. */
export * from './rank-owners.js';
export * from './place-owners.js';
export * from './rendezvous.js';
export type * from './types.js';
