/** The settings of a gateway process. */
export * from './settings-schema.js';
