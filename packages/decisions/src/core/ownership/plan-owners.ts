import {hashToUnitInterval} from '../placement/index.js';
import type {OwnerCandidate, OwnerPlanInputs} from './types.js';

/** Most owners of a group in the availability zone of each of its instances. */
const MAXIMUM_OWNERS_PER_ZONE = 2;

/** How many groups of a zone go to the same owners on the average. */
const GROUPS_PER_OWNER = 4;

/** Fewest connections to an instance with which an owner is of use. */
const MINIMUM_CONNECTIONS_PER_OWNER = 2;

/** Connections of an instance that no owner may use: the coordinator's. */
export const RESERVED_CONNECTIONS = 1;

/** Weight of a candidate that publishes no capacity; owners are then equal. */
const MINIMUM_CAPACITY = 0.01;

/**
 * Chooses the proxies that hold connections to the instances of a group.
 *
 * Answers the pattern of many proxies before few connections: the connections
 * and the queue before them belong to a few proxies, in the zones of the
 * instances, so that a zone that is cut off with an instance keeps an owner.
 * Every proxy computes the same plan from the same members; a plan from an
 * older list only costs a hop, because owners refuse what is not theirs.
 *
 * Source: weighted rendezvous hashing, Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", 2005.
 *
 * @param request - The group, its zones and the live proxies.
 * @returns Names of the owners, without duplicates.
 */
export function planOwners(request: OwnerPlanInputs): string[] {
  const zones = [...new Set(request.zones)].sort();
  const perZone = ownersPerZone(zones.length, request.connectionLimit);
  const chosen = new Set<string>();
  for (const zone of zones) {
    const near = nearestCandidates(zone, request);
    const ranked = rankByWeight(`${zone}/${bucketOf(zone, request)}`, near);
    for (const {name} of ranked.slice(0, perZone)) chosen.add(name);
  }
  return [...chosen];
}

/**
 * Groups are placed in buckets, so that few proxies own anything: each of them
 * follows the store closely and holds a lease for its views.
 */
function bucketOf(
  zone: string,
  {group, countGroupsIn: groupsIn}: OwnerPlanInputs,
): number {
  const buckets = Math.max(1, Math.round(groupsIn(zone) / GROUPS_PER_OWNER));
  return Math.floor(hashToUnitInterval('bucket', group) * buckets);
}

/** Few connections are worth more in few hands. */
function ownersPerZone(zones: number, connectionLimit: number): number {
  const usable = connectionLimit - RESERVED_CONNECTIONS;
  // One share more than there are owners, for one that takes over from another.
  const shareOf = (perZone: number): number => usable / (zones * perZone + 1);
  let perZone = MAXIMUM_OWNERS_PER_ZONE;
  while (perZone > 1 && shareOf(perZone) < MINIMUM_CONNECTIONS_PER_OWNER)
    perZone -= 1;
  return perZone;
}

/** Proxies of the zone, else of its region, else all. */
function nearestCandidates(
  zone: string,
  {candidates, regionOf}: OwnerPlanInputs,
): readonly OwnerCandidate[] {
  const inZone = candidates.filter(each => each.availabilityZone === zone);
  if (inZone.length > 0) return inZone;
  const region = regionOf(zone);
  const inRegion = candidates.filter(each => each.region === region);
  return inRegion.length > 0 ? inRegion : candidates;
}

/** Orders candidates for a key; each comes first as often as its capacity says. */
function rankByWeight(
  key: string,
  candidates: readonly OwnerCandidate[],
): OwnerCandidate[] {
  return candidates
    .map(candidate => ({candidate, score: rendezvousScore(key, candidate)}))
    .sort(
      (left, right) =>
        right.score - left.score ||
        (left.candidate.name < right.candidate.name ? -1 : 1),
    )
    .map(({candidate}) => candidate);
}

function rendezvousScore(
  key: string,
  {name, capacity}: OwnerCandidate,
): number {
  // Squared, because a VM of little capacity slows every caller of its groups.
  const weight = Math.max(MINIMUM_CAPACITY, capacity) ** 2;
  return -weight / Math.log(hashToUnitInterval(key, name));
}
