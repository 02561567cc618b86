/** Statements that run at the owner of their group, over links between proxies. */
export * from './forwarding-service.js';
