/** Membership of the entry VMs. */
export * from './membership-tracker.js';
export * from './vm-list-poller.js';
