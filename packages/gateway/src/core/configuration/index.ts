/** What operators have declared. */
export * from './configuration-holder.js';
export * from './types.js';
