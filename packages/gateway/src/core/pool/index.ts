/** Connections to instances, within this proxy's share. */
export * from './answer-times.js';
export * from './instance-pool.js';
export * from './pooled-connection.js';
export * from './types.js';
