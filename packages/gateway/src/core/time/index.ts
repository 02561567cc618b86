/** Clocks and time limits of the gateway. */
export * from './read-clocks.js';
export * from './with-timeout.js';
export * from './whole-milliseconds.js';
