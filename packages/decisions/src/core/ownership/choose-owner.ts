import type {OwnerEndpoint} from './types.js';

/** Cost added for an owner in another availability zone, in milliseconds. */
const OTHER_ZONE_PENALTY_MS = 5;

/** Cost added for an owner in another region, in milliseconds. */
const OTHER_REGION_PENALTY_MS = 60;

/** Location of the proxy that chooses an owner. */
export interface ProxyLocation {
  readonly availabilityZone: string;
  readonly region: string;
}

/**
 * Chooses the owner to which a statement is sent.
 *
 * Spreads the statements of many entry proxies over few owners: it takes the
 * cheaper of two random owners, because all proxies would send to a fixed best
 * one at once.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001.
 *
 * @param endpoints - The owners that have not been tried for this statement.
 * @param location - Location of the choosing proxy.
 * @param nowMs - The time, in milliseconds of the process clock.
 * @param random - Returns a random number from 0 (included) to 1 (excluded).
 * @returns The owner, or undefined if there is none.
 */
export function chooseOwner(
  endpoints: readonly OwnerEndpoint[],
  location: ProxyLocation,
  nowMs: number,
  random: () => number,
): OwnerEndpoint | undefined {
  const usable = endpoints.filter(({avoidUntilMs}) => avoidUntilMs <= nowMs);
  const remaining = [...(usable.length > 0 ? usable : endpoints)];
  const near = nearestEndpoints(remaining, location);
  const drawn = drawRandom(near, random, 2);
  drawn.sort(
    (left, right) =>
      expectedCostMs(left, location) - expectedCostMs(right, location),
  );
  return drawn[0];
}

/**
 * Returns the owners in the same region; traffic to other regions is billed.
 */
function nearestEndpoints(
  endpoints: OwnerEndpoint[],
  location: ProxyLocation,
): OwnerEndpoint[] {
  const inRegion = endpoints.filter(({region}) => region === location.region);
  return inRegion.length > 0 ? inRegion : endpoints;
}

function drawRandom(
  endpoints: OwnerEndpoint[],
  random: () => number,
  count: number,
): OwnerEndpoint[] {
  const remaining = [...endpoints];
  const drawn: OwnerEndpoint[] = [];
  while (drawn.length < count && remaining.length > 0) {
    drawn.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return drawn;
}

/** Returns the expected time of a statement plus penalties, in milliseconds. */
function expectedCostMs(
  endpoint: OwnerEndpoint,
  location: ProxyLocation,
): number {
  const isOtherZone = endpoint.availabilityZone !== location.availabilityZone;
  const isOtherRegion = endpoint.region !== location.region;
  return (
    endpoint.answerMs * (endpoint.outstandingRequests + 1) +
    (isOtherZone ? OTHER_ZONE_PENALTY_MS : 0) +
    (isOtherRegion ? OTHER_REGION_PENALTY_MS : 0)
  );
}
