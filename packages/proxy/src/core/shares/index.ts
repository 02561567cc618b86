/** How many connections this process may hold to each instance. */
export * from './connection-shares.js';
export * from './group-shares.js';
export * from './connection-share-task.js';
export * from './share-requests.js';
