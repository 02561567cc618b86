/** The HTTP interface for operators. */
export * from './schemas.js';
export * from './status-schemas.js';
