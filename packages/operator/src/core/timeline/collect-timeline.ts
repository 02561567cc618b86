import type {
  EventFilter,
  EventStream,
  TimelineEntry,
  TimelineEvent,
  TimelineGap,
} from '@sapphireglade/decisions';
import {
  findGaps,
  matchesFilter,
  mergeEvents,
  toTimelineEntries,
} from '@sapphireglade/decisions';
import type {StatusResponse, TimelinePage} from '@sapphireglade/protocol';
import type {OperatorClient} from '../client/index.js';

/** Longest wait for one page of one proxy, in milliseconds. */
const PAGE_TIMEOUT_MS = 3_000;

/** Events asked for at a time. */
const PAGE_EVENTS = 5_000;

/** A proxy whose time line could not be read. */
export interface UnreachableProxy {
  readonly proxy: string;
  readonly reason: string;
}

/** The merged time line of a fleet. */
export interface FleetTimeline {
  readonly entries: readonly TimelineEntry[];
  /** Proxies whose events are part of it. */
  readonly proxies: readonly string[];
  /** Proxies that did not answer. */
  readonly unreachableProxies: readonly UnreachableProxy[];
}

/** Which part of the time line is wanted. */
export interface TimelineQuery {
  readonly streams: readonly EventStream[];
  readonly filter: EventFilter;
  /** Only events from this wall clock on, in milliseconds; 0 for all. */
  readonly fromWallMs: number;
}

/** What one proxy gave, or why it gave nothing. */
type ProxyTimeline =
  | {readonly proxy: string; readonly events: readonly TimelineEvent[]}
  | UnreachableProxy;

/**
 * Asks every entry VM for its events and merges them.
 *
 * @param client - Reaches one proxy, whose members are asked at the same port.
 * @param request - Which events are wanted.
 */
export async function collectTimeline(
  client: OperatorClient,
  request: TimelineQuery,
): Promise<FleetTimeline> {
  const status = await client.status();
  const answers = await Promise.all(
    listProxyTargets(client, status).map(target => readProxy(target, request)),
  );
  const reached = answers.filter(answer => 'events' in answer);
  const events = mergeEvents(reached.map(answer => answer.events));
  return {
    entries: selectEntries(events, request),
    proxies: reached.map(answer => answer.proxy),
    unreachableProxies: answers.filter(answer => 'reason' in answer),
  };
}

/** Finds gaps among all events first, and only then filters. */
function selectEntries(
  events: readonly TimelineEvent[],
  {filter, fromWallMs}: TimelineQuery,
): TimelineEntry[] {
  const wanted = events
    .filter(event => event.at.wallMs >= fromWallMs)
    .filter(event => matchesFilter(event, filter));
  // Pages that were filtered by request have jumps that are no gaps.
  const gaps = filter.requestId === undefined ? findGaps(events) : [];
  return toTimelineEntries(
    wanted,
    gaps.filter(gap => isGapWanted(gap)),
  );

  function isGapWanted(gap: TimelineGap): boolean {
    const isProxy = filter.proxy === undefined || filter.proxy === gap.process;
    return isProxy && gap.at.wallMs >= fromWallMs;
  }
}

/** One proxy to ask. */
interface ProxyTarget {
  readonly proxy: string;
  readonly client: OperatorClient;
}

/** The proxy at hand and every other member at the same port. */
function listProxyTargets(
  client: OperatorClient,
  status: StatusResponse,
): ProxyTarget[] {
  const {protocol, port} = new URL(client.origin);
  const others = status.members
    .filter(member => member.name !== status.proxy)
    .map(member => ({
      proxy: member.name,
      client: client.at(`${protocol}//${member.address}:${port}`),
    }));
  return [{proxy: status.proxy, client}, ...others];
}

/** Reads every page of one proxy. */
async function readProxy(
  {proxy, client}: ProxyTarget,
  request: TimelineQuery,
): Promise<ProxyTimeline> {
  try {
    const events: TimelineEvent[] = [];
    for (const stream of request.streams) {
      events.push(...(await readStream(client, stream, request.filter)));
    }
    return {proxy, events};
  } catch (error) {
    return {proxy, reason: (error as Error).message};
  }
}

async function readStream(
  client: OperatorClient,
  stream: EventStream,
  {requestId}: EventFilter,
): Promise<TimelineEvent[]> {
  const fixed = {
    stream,
    limit: String(PAGE_EVENTS),
    ...(requestId === undefined ? {} : {request: requestId}),
  };
  const events: TimelineEvent[] = [];
  let page: TimelinePage | undefined;
  do {
    const after = String(page?.next ?? 0);
    page = await client.timeline({...fixed, after}, PAGE_TIMEOUT_MS);
    events.push(...page.events);
  } while (page.more);
  return events;
}
