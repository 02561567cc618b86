/** Command-line tool of operators, built on the operator API. */
export * from './core/client/index.js';
export * from './core/commands/index.js';
export * from './core/output/index.js';
export * from './core/timeline/index.js';
export * from './main.js';
