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

/** Longest wait for a page of a proxy, in milliseconds. */
const PAGE_TIMEOUT_MS = 3_000;

/** Number of events requested per page. */
const PAGE_EVENTS = 5_000;

/** Proxy whose timeline could not be read. */
export interface UnreachableProxy {
  readonly proxy: string;
  readonly reason: string;
}

/** Merged timeline of a fleet. */
export interface FleetTimeline {
  readonly entries: readonly TimelineEntry[];
  /** Proxies whose events are included. */
  readonly proxies: readonly string[];
  /** Proxies that did not respond. */
  readonly unreachableProxies: readonly UnreachableProxy[];
}

/** Selection of timeline events. */
export interface TimelineQuery {
  readonly streams: readonly EventStream[];
  readonly filter: EventFilter;
  /** Wall clock time of the first event, in milliseconds; 0 for all events. */
  readonly fromWallMs: number;
}

/** Events of one proxy, or the reason why they could not be read. */
type ProxyTimeline =
  | {readonly proxy: string; readonly events: readonly TimelineEvent[]}
  | UnreachableProxy;

/**
 * Reads the events of every proxy and merges them.
 *
 * @param client - Client of one proxy. The other proxies of its status are read
 *   at the same port.
 * @param request - Selection of events.
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

/** Selects events. Finds gaps first, as left-out events would look like gaps. */
function selectEntries(
  events: readonly TimelineEvent[],
  {filter, fromWallMs}: TimelineQuery,
): TimelineEntry[] {
  const selected = events
    .filter(event => event.at.wallMs >= fromWallMs)
    .filter(event => matchesFilter(event, filter));
  // Pages filtered by request skip sequence numbers, which are not gaps.
  const gaps = filter.requestId === undefined ? findGaps(events) : [];
  return toTimelineEntries(
    selected,
    gaps.filter(gap => isGapWanted(gap)),
  );

  function isGapWanted(gap: TimelineGap): boolean {
    const isProxy = filter.proxy === undefined || filter.proxy === gap.process;
    return isProxy && gap.at.wallMs >= fromWallMs;
  }
}

/** Proxy whose events are read. */
interface ProxyTarget {
  readonly proxy: string;
  readonly client: OperatorClient;
}

/** Lists the proxy of the client and every other member at the same port. */
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

/** Reads all selected events of one proxy. */
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
  const query = {
    stream,
    limit: String(PAGE_EVENTS),
    ...(requestId === undefined ? {} : {request: requestId}),
  };
  const events: TimelineEvent[] = [];
  let page: TimelinePage | undefined;
  do {
    const after = String(page?.next ?? 0);
    page = await client.timeline({...query, after}, PAGE_TIMEOUT_MS);
    events.push(...page.events);
  } while (page.more);
  return events;
}
