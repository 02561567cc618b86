/** Retry decisions for statements that an instance did not serve. */
export * from './decide-retry-action.js';
