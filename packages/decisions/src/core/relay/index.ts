/** Bounds the age of store content that proxies receive from other proxies. */
export * from './relayed-age.js';
