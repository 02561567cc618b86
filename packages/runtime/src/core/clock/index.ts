/** The clock of a process. */
export * from './hybrid-logical-clock.js';
