/** Sessions that last as long as their caller's connection. */
export * from './session-budget.js';
export * from './session-values.js';
export * from './synchronization-plan.js';
export * from './types.js';
