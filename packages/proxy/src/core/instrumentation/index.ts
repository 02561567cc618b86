/** Events and metrics of individual requests. */
export * from './instrumented-router.js';
export * from './execution-recorder.js';
export type * from './request-router.js';
