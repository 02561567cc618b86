/** The configuration declared by operators. */
export * from './latest-configuration.js';
export * from './types.js';
