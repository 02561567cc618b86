/**
 * Selects the delegate: the proxy that reads the store for its availability zone.
 *
 * The role is an optimization that speeds up propagation and reduces load on the
 * store. Two delegates in a zone only duplicate work; without one, proxies
 * pull the configuration from each other.
 */
import {rankNodes} from '../placement/index.js';

/**
 * Proxies per zone that request the lease. The others do not, to limit the load
 * on the store.
 */
const CANDIDATES_PER_ZONE = 2;

/** Duration of the delegate lease, in milliseconds. */
export const DELEGATE_LEASE_MS = 3_000;

/** Interval at which a candidate requests or renews the lease, in milliseconds. */
export const DELEGATE_RENEWAL_MS = 1_000;

/** Interval of reports to the delegate, in milliseconds. */
export const REPORT_INTERVAL_MS = 2_000;

/** Returns the store key of the delegate lease of a zone. */
export function delegateLeaseKey(zone: string): string {
  return `sapphireglade/delegate/${zone}`;
}

/**
 * Ranks the proxies of a zone as candidates for its delegate.
 *
 * @param zone - The zone.
 * @param reachable - Names of its proxies that are reachable and not stopping.
 * @returns The names, best first; the same on every process that lists the
 *   same proxies.
 */
export function rankDelegates(
  zone: string,
  reachable: readonly string[],
): string[] {
  return rankNodes(`delegate/${zone}`, reachable);
}

/** Returns whether a proxy should request the delegate lease of its zone. */
export function isDelegateCandidate(
  self: string,
  zone: string,
  reachable: readonly string[],
): boolean {
  return rankDelegates(zone, reachable)
    .slice(0, CANDIDATES_PER_ZONE)
    .includes(self);
}

/** Inputs for the choice of the proxy to report to. */
export interface ZonePeers {
  readonly self: string;
  readonly zone: string;
  /** Names of the reachable proxies of the zone, this one included. */
  readonly reachable: readonly string[];
  /** Last reported holder of the delegate lease. */
  readonly leaseHolder: string | undefined;
}

/**
 * Chooses the proxy of the own zone that a proxy reports to and pulls the
 * configuration from.
 *
 * @returns The name, or undefined if this proxy itself is the first choice.
 */
export function chooseReportTarget(peers: ZonePeers): string | undefined {
  const {self, zone, reachable, leaseHolder} = peers;
  const isHolderReachable =
    leaseHolder !== undefined && reachable.includes(leaseHolder);
  const target = isHolderReachable
    ? leaseHolder
    : rankDelegates(zone, reachable)[0];
  return target === self ? undefined : target;
}

/**
 * Chooses the proxy of each other zone that a delegate contacts next.
 *
 * @param zones - The reachable proxies of each other zone, by zone.
 * @param random - A random number in [0, 1); occasionally selects the second
 *   candidate of a zone, in case the first does not answer.
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
