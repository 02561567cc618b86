import {hashToUnitInterval} from '../placement/index.js';
import type {OwnerCandidate, OwnerPlanInputs} from './types.js';

/** Maximum owners of a group in the availability zone of each instance. */
const MAXIMUM_OWNERS_PER_ZONE = 2;

/** Average number of groups of a zone that share the same owners. */
const GROUPS_PER_OWNER = 4;

/** Fewest connections to an instance with which an owner is useful. */
const MINIMUM_CONNECTIONS_PER_OWNER = 2;

/** Connections of an instance that are reserved for the coordinator. */
export const RESERVED_CONNECTIONS = 1;

/**
 * Lowest capacity used as a weight; candidates that publish none weigh alike.
 */
const MINIMUM_CAPACITY = 0.01;

/**
 * Chooses the proxies that hold connections to the instances of a group.
 *
 * With many proxies and few connections, only a few proxies own the connections
 * and their queue. They are in the zones of the instances, so that a zone that
 * is cut off together with an instance keeps an owner. Every proxy computes the
 * same plan from the same members. A plan from an older list costs only one
 * more hop, because a proxy refuses requests for groups that it does not own.
 *
 * Source: weighted rendezvous hashing, Schindelhauer and Schomaker, "Weighted
 * distributed hash tables", 2005.
 *
 * @param inputs - The group, its zones and the live proxies.
 * @returns Names of the owners, without duplicates.
 */
export function planOwners(inputs: OwnerPlanInputs): string[] {
  const zones = [...new Set(inputs.zones)].sort();
  const perZone = ownersPerZone(zones.length, inputs.connectionLimit);
  const chosen = new Set<string>();
  for (const zone of zones) {
    const nearest = nearestCandidates(zone, inputs);
    const ranked = rankByWeight(`${zone}/${bucketOf(zone, inputs)}`, nearest);
    for (const {name} of ranked.slice(0, perZone)) chosen.add(name);
  }
  return [...chosen];
}

/**
 * Returns the bucket of a group in a zone. The groups of one bucket have the
 * same owners, so that few proxies are owners: each owner reads the store often
 * and holds a lease for its views.
 */
function bucketOf(
  zone: string,
  {group, countGroupsIn: groupsIn}: OwnerPlanInputs,
): number {
  const buckets = Math.max(1, Math.round(groupsIn(zone) / GROUPS_PER_OWNER));
  return Math.floor(hashToUnitInterval('bucket', group) * buckets);
}

/** Returns the owners per zone; fewer if each would get too few connections. */
function ownersPerZone(zones: number, connectionLimit: number): number {
  const usable = connectionLimit - RESERVED_CONNECTIONS;
  // One share more than there are owners, for an owner that replaces another.
  const shareOf = (perZone: number): number => usable / (zones * perZone + 1);
  let perZone = MAXIMUM_OWNERS_PER_ZONE;
  while (perZone > 1 && shareOf(perZone) < MINIMUM_CONNECTIONS_PER_OWNER)
    perZone -= 1;
  return perZone;
}

/** Returns the proxies of the zone; if none, of its region; if none, all. */
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

/** Orders candidates for a key; capacity sets how often each comes first. */
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
  // Squared, because a VM with low capacity slows all callers of its groups.
  const weight = Math.max(MINIMUM_CAPACITY, capacity) ** 2;
  return -weight / Math.log(hashToUnitInterval(key, name));
}
