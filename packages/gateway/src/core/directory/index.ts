/** Directory of the registered database instances. */
export * from './instance-directory.js';
export * from './instance-use-policy.js';
export * from './types.js';
