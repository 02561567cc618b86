/** Stand-in for the platform's list of VMs, which lags behind. */
export * from './settings.js';
export * from './vm-list-service.js';
