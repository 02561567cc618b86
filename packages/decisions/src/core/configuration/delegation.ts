/**
 * Which proxy reads the store for its availability zone.
 *
 * The role buys speed and spares the store. Two delegates in a zone do the
 * same work twice; with none, proxies learn from each other.
 */
import {rankNodes} from '../placement/index.js';

/** How many proxies of a zone try for the lease, so that others stay quiet. */
const CANDIDATES_PER_ZONE = 2;

/** How long the lease of a zone lasts, in milliseconds. */
export const DELEGATE_LEASE_MS = 3_000;

/** How often a candidate tries for the lease or renews it, in milliseconds. */
export const DELEGATE_RENEWAL_MS = 1_000;

/** How often a proxy reports to its delegate, in milliseconds. */
export const REPORT_INTERVAL_MS = 2_000;

/** Key of the lease of a zone. */
export function delegateLeaseKey(zone: string): string {
  return `sapphireglade/delegate/${zone}`;
}

/**
 * Ranks the proxies of a zone for the role of its delegate.
 *
 * @param zone - The zone.
 * @param reachable - Names of its proxies that are reachable and not stopping.
 * @returns The names, best first; the same on every process that knows the
 *   same proxies.
 */
export function rankDelegates(
  zone: string,
  reachable: readonly string[],
): string[] {
  return rankNodes(`delegate/${zone}`, reachable);
}

/** Whether a proxy should try for the lease of its zone. */
export function isDelegateCandidate(
  self: string,
  zone: string,
  reachable: readonly string[],
): boolean {
  return rankDelegates(zone, reachable)
    .slice(0, CANDIDATES_PER_ZONE)
    .includes(self);
}

/** What a proxy knows when it chooses whom to ask. */
export interface ZonePeers {
  readonly self: string;
  readonly zone: string;
  /** Names of the reachable proxies of the zone, this one included. */
  readonly reachable: readonly string[];
  /** Who was last said to hold the lease. */
  readonly leaseHolder: string | undefined;
}

/**
 * Chooses the proxy of the own zone to which a proxy reports and from which it
 * learns.
 *
 * @returns The name, or nothing if this proxy itself comes first.
 */
export function chooseReportTarget(targets: ZonePeers): string | undefined {
  const {self, zone, reachable, leaseHolder} = targets;
  const isHolderReachable =
    leaseHolder !== undefined && reachable.includes(leaseHolder);
  const target = isHolderReachable
    ? leaseHolder
    : rankDelegates(zone, reachable)[0];
  return target === self ? undefined : target;
}

/**
 * Chooses, for each other zone, the proxies that a delegate asks in turn.
 *
 * @param zones - The reachable proxies of each other zone, by zone.
 * @param random - A random number from 0 up to 1; spreads the load where a
 *   zone's first candidate does not answer.
 */
export function chooseZoneContacts(
  zones: ReadonlyMap<string, readonly string[]>,
  random: number,
): string[] {
  return [...zones].flatMap(([zone, members]) => {
    const ranked = rankDelegates(zone, members).slice(0, CANDIDATES_PER_ZONE);
    const isFallback =
      random >= 1 - 1 / (CANDIDATES_PER_ZONE * CANDIDATES_PER_ZONE);
    const chosen = isFallback ? ranked[ranked.length - 1] : ranked[0];
    return chosen === undefined ? [] : [chosen];
  });
}
