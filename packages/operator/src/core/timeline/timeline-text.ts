import type {TimelineEntry, TimelineEvent} from '@sapphireglade/decisions';
import {describeEvent, describeGap} from '@sapphireglade/decisions';
import type {FleetTimeline} from './collect-timeline.js';

/** Width of the column of process names, in characters. */
const NAME_WIDTH = 16;

/**
 * Formats a timeline as text, one sentence per line.
 *
 * @param timeline - Merged timeline.
 */
export function formatTimelineText(timeline: FleetTimeline): string[] {
  return [
    ...formatUnreachableProxies(timeline),
    ...timeline.entries.map(entry => formatEntry(entry)),
  ];
}

/**
 * Formats a timeline as JSON lines: unreachable proxies, events with their
 * sentence, and gaps.
 *
 * @param timeline - Merged timeline.
 */
export function formatTimelineJson(timeline: FleetTimeline): string[] {
  const missing = timeline.unreachableProxies.map(({proxy, reason}) =>
    JSON.stringify({type: 'unreached', proxy, reason}),
  );
  const entries = timeline.entries.map(entry =>
    entry.type === 'gap'
      ? JSON.stringify({type: 'gap', ...entry.gap})
      : JSON.stringify(toJsonEvent(entry.event)),
  );
  return [...missing, ...entries];
}

/** Formats the proxies whose events are missing from a timeline. */
export function formatUnreachableProxies({
  unreachableProxies: unreached,
}: FleetTimeline): string[] {
  return unreached.map(
    ({proxy, reason}) =>
      `NOT REACHED: ${proxy}; its events are missing below. ${reason}`,
  );
}

/** Formats a time of day in UTC with milliseconds. */
export function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(11, 23);
}

function formatEntry(entry: TimelineEntry): string {
  if (entry.type === 'gap') {
    const {at, process} = entry.gap;
    return formatLine(at.wallMs, process, describeGap(entry.gap));
  }
  const {at, process} = entry.event;
  return formatLine(at.wallMs, process, describeEvent(entry.event));
}

function formatLine(wallMs: number, process: string, text: string): string {
  return `${formatTime(wallMs)}  ${process.padEnd(NAME_WIDTH)}  ${text}`;
}

function toJsonEvent(event: TimelineEvent): object {
  const time = new Date(event.at.wallMs).toISOString();
  return {type: 'event', time, ...event, sentence: describeEvent(event)};
}
