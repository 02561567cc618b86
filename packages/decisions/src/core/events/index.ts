/** The catalogue of event kinds and the merging of timelines. */
export * from './catalogue.js';
export {FAILOVER_EVENTS} from './kinds/failover-events.js';
export * from './define-events.js';
export * from './describe-event.js';
export * from './merge-events.js';
export * from './types.js';
