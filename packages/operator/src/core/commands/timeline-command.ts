import {writeFileSync} from 'node:fs';
import type {EventFilter} from '@sapphireglade/decisions';
import {EVENT_CATALOGUE, EventStream} from '@sapphireglade/decisions';
import {ExitCode} from '../client/index.js';
import {OutputFormat} from '../output/index.js';
import type {FleetTimeline} from '../timeline/index.js';
import {
  collectTimeline,
  findPrimaryChanges,
  formatPrimaryChanges,
  formatTimelineHtml,
  formatTimelineJson,
  formatTimelineText,
} from '../timeline/index.js';
import type {CommandContext} from './command-context.js';
import {createUsageError} from './command-context.js';

const MILLISECONDS_PER_MINUTE = 60_000;

/** Options of `timeline`. */
export interface TimelineOptions {
  readonly group?: string;
  readonly onProxy?: string;
  readonly kind?: readonly string[];
  readonly request?: string;
  readonly minutes?: number;
  readonly requests?: boolean;
  readonly summary?: boolean;
  readonly html?: string;
}

/** `timeline`: shows the merged events of all proxies. */
export async function showTimeline(
  context: CommandContext,
  options: TimelineOptions,
): Promise<ExitCode> {
  const timeline = await collectTimeline(context.client, {
    streams: selectStreams(options),
    filter: createFilter(options),
    fromWallMs: startWallMs(options),
  });
  if (options.html === undefined) {
    for (const line of formatTimeline(context, timeline, options)) {
      context.console.print(line);
    }
  } else {
    writeFileSync(options.html, formatTimelineHtml(timeline));
    context.console.printError(`Written to ${options.html}.`);
  }
  return timeline.unreachableProxies.length === 0
    ? ExitCode.Success
    : ExitCode.Partial;
}

function formatTimeline(
  {output}: CommandContext,
  timeline: FleetTimeline,
  options: TimelineOptions,
): string[] {
  if (output === OutputFormat.Json) return formatTimelineJson(timeline);
  const changes = findPrimaryChanges(timeline.entries);
  const summary = formatPrimaryChanges(changes);
  if (options.summary === true) return summary;
  return [...summary, ...formatTimelineText(timeline)];
}

function createFilter(options: TimelineOptions): EventFilter {
  const {group, onProxy, kind, request} = options;
  for (const name of kind ?? []) {
    if (Object.hasOwn(EVENT_CATALOGUE, name)) continue;
    throw createUsageError(
      `There is no event kind "${name}".`,
      `The kinds are: ${Object.keys(EVENT_CATALOGUE).join(', ')}.`,
    );
  }
  return {group, proxy: onProxy, kinds: kind, requestId: request};
}

function selectStreams({requests, request}: TimelineOptions): EventStream[] {
  const wantsRequests = requests === true || request !== undefined;
  return wantsRequests
    ? [EventStream.Control, EventStream.Requests]
    : [EventStream.Control];
}

function startWallMs({minutes}: TimelineOptions): number {
  return minutes === undefined
    ? 0
    : Date.now() - minutes * MILLISECONDS_PER_MINUTE;
}
