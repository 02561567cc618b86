/** One proxy at a time replaces primaries. */
export * from './coordinator-task.js';
export * from './coordinator-key.js';
export * from './promotion-service.js';
export * from './view-revocation.js';
export type {PrimaryChangeContext as ChangeContext} from './primary-change-context.js';
export * from './control-connections.js';
