/** Forwarding of statements to the owners of their groups, over links between proxies. */
export * from './forwarding-service.js';
