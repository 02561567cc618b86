/** Schemas of the store interface. */
export * from './schemas.js';
