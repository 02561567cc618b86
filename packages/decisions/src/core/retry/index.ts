/** Retries, hedges and circuit breakers for requests. */
export * from './circuit-breaker.js';
export * from './decide-retry.js';
export * from './hedge-delay.js';
export * from './retry-budget.js';
export * from './is-redirect.js';
