/** Connections to instances, within this proxy's share. */
export * from './instance-responsiveness.js';
export * from './instance-pool.js';
export * from './pooled-connection.js';
export * from './types.js';
