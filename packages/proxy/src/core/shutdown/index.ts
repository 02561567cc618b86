/** Planned stops that cut no work in progress. */
export * from './drain.js';
export * from './in-flight-requests.js';
export * from './stopping-response.js';
