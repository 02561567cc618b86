/** Schemas of the vm-list interface. */
export * from './schemas.js';
