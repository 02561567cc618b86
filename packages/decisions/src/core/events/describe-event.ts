import type {EventKind} from './catalogue.js';
import {EVENT_CATALOGUE} from './catalogue.js';
import type {EventDefinition, EventFieldMap} from './define-events.js';
import {REQUEST_EVENTS} from './kinds/request-events.js';
import type {TimelineEvent, TimelineGap} from './types.js';
import {EventStream} from './types.js';

/** Kinds that belong to the stream of requests. */
const REQUEST_KINDS: ReadonlySet<string> = new Set(Object.keys(REQUEST_EVENTS));

/** Returns whether a kind is in the catalogue of this version. */
export function isEventKind(kind: string): kind is EventKind {
  return Object.hasOwn(EVENT_CATALOGUE, kind);
}

/** Returns the stream that stores events of a kind. */
export function findEventStream(kind: string): EventStream {
  return REQUEST_KINDS.has(kind) ? EventStream.Requests : EventStream.Control;
}

/**
 * Formats an event as one human-readable sentence.
 *
 * @param event - An event, possibly recorded by another version of the program.
 * @returns The sentence of the catalogue, or the kind and fields if the
 *   catalogue of this version has no such kind.
 */
export function describeEvent(
  event: Pick<TimelineEvent, 'kind' | 'fields'>,
): string {
  if (!isEventKind(event.kind)) return describeUnknownKind(event);
  const definition = EVENT_CATALOGUE[
    event.kind
  ] as EventDefinition<EventFieldMap>;
  // A field with a reason may already end with a full stop.
  return definition.formatMessage(event.fields).replaceAll('..', '.');
}

/** Formats a gap as one human-readable sentence. */
export function describeGap(gap: TimelineGap): string {
  if (gap.lastMissing === null) {
    return `GAP: this run of ${gap.process} ended; its events from number ${gap.firstMissing} on are lost.`;
  }
  const count = gap.lastMissing - gap.firstMissing + 1;
  const noun = count === 1 ? 'event' : 'events';
  return `GAP: ${count} ${noun} of ${gap.process} (${gap.firstMissing} to ${gap.lastMissing}, stream ${gap.stream}) are no longer held.`;
}

/** Formats an event whose kind is not in the catalogue of this version. */
function describeUnknownKind(
  event: Pick<TimelineEvent, 'kind' | 'fields'>,
): string {
  const fields = Object.entries(event.fields)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(', ');
  return `Unknown kind ${event.kind} (${fields}).`;
}
