/** Schemas of the caller interface. */
export * from './schemas.js';
