/** Clock, logging, metrics, settings and supervision, shared by all processes. */
export * from './core/clock/index.js';
export * from './core/logging/index.js';
export * from './core/metrics/index.js';
export * from './core/settings/index.js';
export * from './core/supervision/index.js';
