/** Callers' sessions and the statements in them. */
export * from './caller-session.js';
export * from './session-context.js';
export * from './types.js';
