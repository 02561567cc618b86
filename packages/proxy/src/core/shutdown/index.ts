/** Planned stops that complete the work in progress. */
export * from './drain.js';
export * from './in-flight-requests.js';
export * from './stopping-response.js';
