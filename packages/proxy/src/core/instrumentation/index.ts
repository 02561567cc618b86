/** Events and metrics of single requests. */
export * from './instrumented-router.js';
export * from './execution-recorder.js';
export type * from './request-router.js';
