/** Which database instances exist. */
export * from './instance-directory.js';
export * from './types.js';
