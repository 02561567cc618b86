/** HTTP client of the operator API. */
export * from './operator-client.js';
export * from './command-error.js';
export type * from './types.js';
