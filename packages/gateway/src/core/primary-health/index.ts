/**
 * Health checks of primaries, releases of old primaries, and verification of
 * views.
 */
export * from './primary-health-check-task.js';
export * from './primary-releases.js';
export * from './view-verification-task.js';
