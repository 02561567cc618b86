/**
 * Election of the coordinator, the one proxy that replaces primaries, and the
 * steps of a primary change.
 */
export * from './coordinator-task.js';
export * from './coordinator-key.js';
export * from './promotion-service.js';
export * from './view-revocation.js';
export type {PrimaryChangeContext} from './primary-change-context.js';
export * from './control-connections.js';
export * from './group-departures.js';
export * from './group-observers.js';
export * from './order-history.js';
export * from './outstanding-orders.js';
