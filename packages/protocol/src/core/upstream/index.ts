/** The published interface of a database instance. */
export * from './schemas.js';
