/** Queues requests for free connections and refuses those that would be late. */
export * from './commit-gate.js';
export * from './connection-wait-queue.js';
export * from './holding-time.js';
