/** Pure decisions: no socket, timer, clock, random source or log. */
export * from './core/admission/index.js';
export * from './core/backoff/index.js';
export * from './core/clock/index.js';
export * from './core/configuration/index.js';
export * from './core/confirmation/index.js';
export * from './core/errors/index.js';
export * from './core/events/index.js';
export * from './core/failover/index.js';
export * from './core/groups/index.js';
export * from './core/membership/index.js';
export * from './core/placement/index.js';
export * from './core/resources/index.js';
export * from './core/retry/index.js';
export * from './core/routing/index.js';
export * from './core/session/index.js';
export * from './core/shares/index.js';
