/** Gauges that are read from what the tasks share. */
export * from './process-gauges.js';
