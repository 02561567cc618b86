/** What follows when an instance did not serve a statement. */
export * from './decide-retry-action.js';
