/** The entry VMs that are alive. */
export * from './membership-tracker.js';
export * from './vm-list-poller.js';
