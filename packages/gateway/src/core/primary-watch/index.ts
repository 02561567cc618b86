/** Whether this proxy can use each group's primary. */
export * from './primary-watch-task.js';
export * from './release-task.js';
export * from './view-proof-task.js';
