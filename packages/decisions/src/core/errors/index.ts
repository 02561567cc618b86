/** The closed list of errors with their responses and outcomes. */
export * from './catalogue.js';
export * from './error-kind.js';
export * from './outcome.js';
export * from './retry-advice.js';
export * from './sapphireglade-error.js';
