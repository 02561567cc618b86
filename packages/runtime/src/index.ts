/** What every process of the project needs at run time. */
export * from './core/clock/index.js';
export * from './core/logging/index.js';
export * from './core/metrics/index.js';
export * from './core/settings/index.js';
export * from './core/supervision/index.js';
