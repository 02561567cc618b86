/** Which request gets the next free connection, and which is refused. */
export * from './dispatch-queue.js';
export * from './holding-time.js';
