/** Timeline of the whole fleet. */
export * from './primary-change-summary.js';
export * from './collect-timeline.js';
export * from './timeline-html.js';
export * from './timeline-text.js';
