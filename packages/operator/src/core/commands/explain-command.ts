import type {TimelineEvent} from '@sapphireglade/decisions';
import {describeEvent, EventStream} from '@sapphireglade/decisions';
import {ExitCode, CommandError} from '../client/index.js';
import type {FleetTimeline} from '../timeline/index.js';
import {collectTimeline, formatUnreachableProxies} from '../timeline/index.js';
import type {CommandContext} from './command-context.js';
import {printResult} from './command-context.js';

/** `explain`: shows the recorded steps of a request. */
export async function explainRequest(
  context: CommandContext,
  requestId: string,
): Promise<ExitCode> {
  const steps = await collectTimeline(context.client, {
    streams: [EventStream.Requests],
    filter: {requestId},
    fromWallMs: 0,
  });
  const events = listEvents(steps);
  if (events.length === 0) throw createRequestNotFoundError(requestId, steps);
  const concurrent = await collectGroupEvents(context, events);
  const result = {
    requestId,
    steps: events,
    meanwhile: concurrent,
    unreached: steps.unreachableProxies,
  };
  printResult(context, result, () => [
    ...formatUnreachableProxies(steps),
    ...formatSteps(events),
    ...formatConcurrentEvents(events[0]!, concurrent),
  ]);
  return steps.unreachableProxies.length === 0
    ? ExitCode.Success
    : ExitCode.Partial;
}

/** Collects the control events of the group during the request. */
async function collectGroupEvents(
  context: CommandContext,
  events: readonly TimelineEvent[],
): Promise<TimelineEvent[]> {
  const group = String(events[0]!.fields['group']);
  const timeline = await collectTimeline(context.client, {
    streams: [EventStream.Control],
    filter: {group},
    fromWallMs: events[0]!.at.wallMs,
  });
  const endMs = events.at(-1)!.at.wallMs;
  return listEvents(timeline).filter(event => event.at.wallMs <= endMs);
}

function listEvents({entries}: FleetTimeline): TimelineEvent[] {
  return entries
    .filter(entry => entry.type === 'event')
    .map(entry => entry.event);
}

function formatSteps(events: readonly TimelineEvent[]): string[] {
  const first = events[0]!;
  return events.map(event => formatStep(first, event));
}

function formatConcurrentEvents(
  first: TimelineEvent,
  events: readonly TimelineEvent[],
): string[] {
  if (events.length === 0) return [];
  return ['Meanwhile:', ...events.map(event => formatStep(first, event))];
}

function formatStep(first: TimelineEvent, event: TimelineEvent): string {
  const offset = `+${event.at.wallMs - first.at.wallMs} ms`.padStart(10);
  return `${offset}  ${event.process}: ${describeEvent(event)}`;
}

function createRequestNotFoundError(
  requestId: string,
  {unreachableProxies: unreached}: FleetTimeline,
): CommandError {
  const missing = unreached.map(({proxy}) => proxy).join(', ');
  const hint =
    missing === ''
      ? 'Check the identifier; the oldest steps are dropped to make room for new ones.'
      : `These proxies do not respond and may hold them: ${missing}. Try again when they are back.`;
  return new CommandError(
    ExitCode.NotFound,
    `No proxy that responded holds steps of the request ${requestId}.`,
    hint,
  );
}
