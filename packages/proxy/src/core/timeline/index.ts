/** Time line of the events of this process. */
export * from './event-recorder.js';
export * from './event-ring-buffer.js';
export * from './timeline-routes.js';
