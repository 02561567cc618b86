/** Shares of the connection limits of instances. */
export * from './connection-shares.js';
export * from './group-shares.js';
export * from './connection-share-task.js';
export * from './share-requests.js';
