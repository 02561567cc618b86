/** Whether this proxy can use each group's primary. */
export * from './primary-health-check-task.js';
export * from './primary-releases.js';
export * from './view-verification-task.js';
