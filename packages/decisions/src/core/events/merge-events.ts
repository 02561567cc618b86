import {compareTimestamps} from '../clock/index.js';
import {findEventStream} from './describe-event.js';
import type {
  EventFilter,
  TimelineEntry,
  TimelineEvent,
  TimelineGap,
} from './types.js';

/**
 * Compares two events by timestamp, then process, run and sequence number.
 *
 * @returns A negative number, zero or a positive number, as required for sorting.
 */
export function compareEvents(
  left: TimelineEvent,
  right: TimelineEvent,
): number {
  return (
    compareTimestamps(left.at, right.at) ||
    compareText(left.process, right.process) ||
    compareText(left.boot, right.boot) ||
    left.sequence - right.sequence
  );
}

/**
 * Merges events of several processes into one order without duplicates.
 *
 * @param batches - Events by source, in any order, possibly overlapping.
 * @returns All events, each cause before its effect.
 */
export function mergeEvents(
  batches: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  const unique = new Map<string, TimelineEvent>();
  for (const event of batches.flat()) {
    unique.set(`${streamRunKey(event)} ${event.sequence}`, event);
  }
  return [...unique.values()].sort(compareEvents);
}

/**
 * Finds gaps in the sequence numbers of the available events.
 *
 * @param events - Unfiltered events, in the order of {@link mergeEvents}.
 * @param startAfter - Sequence number after which the events were read.
 * @returns The gaps, each with the timestamp of the event that follows it, or just
 *   after the last event of a run that was replaced by a later run.
 */
export function findGaps(
  events: readonly TimelineEvent[],
  startAfter = 0,
): TimelineGap[] {
  const lastOfRun = new Map<string, TimelineEvent>();
  const gaps: TimelineGap[] = [];
  for (const event of events) {
    const last = lastOfRun.get(streamRunKey(event));
    const expected = (last?.sequence ?? startAfter) + 1;
    if (event.sequence > expected) {
      gaps.push(gapBefore(event, expected));
    }
    lastOfRun.set(streamRunKey(event), event);
  }
  return [...gaps, ...findTruncatedRuns([...lastOfRun.values()])];
}

/**
 * Merges gaps and events into one list.
 *
 * @param events - Events in order.
 * @param gaps - Gaps in any order.
 * @returns The entries; a gap precedes the events with the same timestamp.
 */
export function toTimelineEntries(
  events: readonly TimelineEvent[],
  gaps: readonly TimelineGap[],
): TimelineEntry[] {
  const entries: TimelineEntry[] = [
    ...gaps.map(gap => ({type: 'gap', gap}) as const),
    ...events.map(event => ({type: 'event', event}) as const),
  ];
  return entries.sort((left, right) =>
    compareTimestamps(timestampOf(left), timestampOf(right)),
  );
}

/** Returns whether an event matches a filter. */
export function matchesFilter(
  event: TimelineEvent,
  filter: EventFilter,
): boolean {
  const {group, proxy, kinds, requestId} = filter;
  if (proxy !== undefined && event.process !== proxy) return false;
  if (group !== undefined && event.fields['group'] !== group) return false;
  if (kinds !== undefined && !kinds.includes(event.kind)) return false;
  return requestId === undefined || event.fields['requestId'] === requestId;
}

/** Returns a gap for each run that a later run of its process and stream replaced. */
function findTruncatedRuns(
  lastEvents: readonly TimelineEvent[],
): TimelineGap[] {
  const isReplaced = (event: TimelineEvent): boolean =>
    lastEvents.some(
      other =>
        other.process === event.process &&
        other.boot !== event.boot &&
        findEventStream(other.kind) === findEventStream(event.kind) &&
        compareEvents(other, event) > 0,
    );
  return lastEvents.filter(isReplaced).map(event => ({
    process: event.process,
    boot: event.boot,
    stream: findEventStream(event.kind),
    firstMissing: event.sequence + 1,
    lastMissing: null,
    at: {wallMs: event.at.wallMs, counter: event.at.counter + 1},
  }));
}

/** Returns the gap between the expected sequence number and an event. */
function gapBefore(event: TimelineEvent, expected: number): TimelineGap {
  return {
    process: event.process,
    boot: event.boot,
    stream: findEventStream(event.kind),
    firstMissing: expected,
    lastMissing: event.sequence - 1,
    at: event.at,
  };
}

/** Returns the key of one stream of one run of a process. */
function streamRunKey(event: TimelineEvent): string {
  return `${event.process} ${event.boot} ${findEventStream(event.kind)}`;
}

/** Returns the timestamp of an entry. */
function timestampOf(entry: TimelineEntry): TimelineEvent['at'] {
  return entry.type === 'event' ? entry.event.at : entry.gap.at;
}

/** Compares two strings by code unit, independent of the locale of the machine. */
function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
