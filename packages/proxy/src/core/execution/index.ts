/** Execution of requests on the instances that this process owns. */
export * from './remote-observations.js';
export * from './statement-executor.js';
export * from './transaction-table.js';
