/** Settings files, checked by one schema. */
export * from './format-validation-issue.js';
export * from './load-settings.js';
