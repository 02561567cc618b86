/** Routes requests to the proxies that own connections. */
export * from './statement-router.js';
