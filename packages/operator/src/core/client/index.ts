/** The HTTP client of the operator interface. */
export * from './operator-client.js';
export * from './command-error.js';
export type * from './types.js';
