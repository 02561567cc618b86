import type {EventDefinition, EventFieldMap} from './define-events.js';
import {CONFIGURATION_EVENTS} from './kinds/configuration-events.js';
import {FAILOVER_EVENTS} from './kinds/failover-events.js';
import {LINK_EVENTS} from './kinds/link-events.js';
import {PROCESS_EVENTS} from './kinds/process-events.js';
import {REQUEST_EVENTS} from './kinds/request-events.js';
import {ROUTING_EVENTS} from './kinds/routing-events.js';

/** The closed catalogue of event kinds. */
export const EVENT_CATALOGUE = {
  ...PROCESS_EVENTS,
  ...LINK_EVENTS,
  ...FAILOVER_EVENTS,
  ...ROUTING_EVENTS,
  ...CONFIGURATION_EVENTS,
  ...REQUEST_EVENTS,
} as const;

/** A kind of event. */
export type EventKind = keyof typeof EVENT_CATALOGUE;

/** The fields of an event of kind `Kind`. */
export type EventFields<Kind extends EventKind> =
  (typeof EVENT_CATALOGUE)[Kind] extends EventDefinition<infer Fields>
    ? Fields & EventFieldMap
    : never;
