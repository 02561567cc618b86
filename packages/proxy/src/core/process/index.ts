/** The proxy as a whole. */
export * from './create-proxy-context.js';
export * from './proxy-process.js';
