/** The supervisor tree and the base class of tasks. */
export * from './child-specification.js';
export * from './message-queue.js';
export * from './periodic-task.js';
export * from './restart-decision.js';
export * from './supervisor.js';
export * from './task-group.js';
export * from './supervised-task.js';
export * from './message-task.js';
export * from './types.js';
