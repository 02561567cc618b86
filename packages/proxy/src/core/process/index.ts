/** Assembly, start and stop of the proxy process. */
export * from './create-proxy-context.js';
export * from './proxy-process.js';
