/** Session state and the signed token that transports it. */
export * from './clamp-position.js';
export * from './session-state.js';
export * from './session-token.js';
export type * from './types.js';
