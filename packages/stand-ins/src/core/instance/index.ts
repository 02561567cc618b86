/** In-memory database instance that implements the upstream protocol. */
export * from './database-instance.js';
export type {TermEvent} from './instance-state.js';
export type {LogEntry} from './replicated-log.js';
export {logEntrySchema} from './replicated-log.js';
export * from './settings.js';
