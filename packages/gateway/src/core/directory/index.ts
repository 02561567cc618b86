/** Directory of the registered database instances. */
export * from './instance-directory.js';
export * from './types.js';
