/** What follows when an instance did not serve a statement. */
export * from './decide-next-step.js';
