/** Which request gets the next free connection, and which is refused. */
export * from './connection-wait-queue.js';
export * from './holding-time.js';
