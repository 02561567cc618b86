/** One proxy at a time replaces primaries. */
export * from './coordinator-task.js';
export * from './coordinator-key.js';
export * from './promotion-service.js';
export * from './view-withdrawal.js';
export type {ChangeContext} from './change-context.js';
export * from './control-connections.js';
