/** Caller sessions and the execution of their statements. */
export * from './caller-session.js';
export * from './upstream-transaction.js';
export * from './runnable-statement.js';
export * from './late-use-log.js';
export * from './session-context.js';
export * from './statement-executor.js';
export * from './statement-runner.js';
export * from './session-transaction.js';
export * from './types.js';
