/** Failover and planned changes of a group's primary. */
export * from './failover-task.js';
export * from './write-hold-executor.js';
export * from './write-holds.js';
