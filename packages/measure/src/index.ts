/** Load, experiments and reports for measurements. */
export * from './core/experiments/index.js';
export * from './core/load/index.js';
export * from './core/report/index.js';
