/** Access to the platform's VM list. */
export * from './http-vm-directory.js';
export * from './vm-directory.js';
