/** Pools of connections to instances, within this proxy's share of the connection limit. */
export * from './instance-responsiveness.js';
export * from './instance-pool.js';
export * from './pooled-connection.js';
export * from './types.js';
