/** Membership: which entry VMs run the system. */
export * from './membership.js';
export type * from './types.js';
