import type {OwnerEndpoint} from './types.js';

/** Added for an owner in another availability zone, in milliseconds. */
const OTHER_ZONE_PENALTY_MS = 5;

/** Added for an owner in another region, in milliseconds. */
const OTHER_REGION_PENALTY_MS = 60;

/** Where the proxy is that chooses. */
export interface ProxyLocation {
  readonly availabilityZone: string;
  readonly region: string;
}

/**
 * Chooses the owner that a statement is sent to.
 *
 * Answers the pattern of many entry proxies before few owners. The better of
 * two random ones is taken, because a fixed best one draws everybody at once.
 *
 * Source: Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001.
 *
 * @param options - The owners that were not asked yet.
 * @param place - Where the choosing proxy is.
 * @param nowMs - The time, in milliseconds of the process clock.
 * @param random - Gives a number from 0 up to but without 1.
 * @returns The owner, or nothing if there is none.
 */
export function chooseOwner(
  options: readonly OwnerEndpoint[],
  place: ProxyLocation,
  nowMs: number,
  random: () => number,
): OwnerEndpoint | undefined {
  const usable = options.filter(({avoidUntilMs}) => avoidUntilMs <= nowMs);
  const remaining = [...(usable.length > 0 ? usable : options)];
  const near = nearestEndpoints(remaining, place);
  const drawn = drawRandom(near, random, 2);
  drawn.sort(
    (left, right) => expectedCostMs(left, place) - expectedCostMs(right, place),
  );
  return drawn[0];
}

/** Owners in the same region; the others cost paid bytes. */
function nearestEndpoints(
  options: OwnerEndpoint[],
  place: ProxyLocation,
): OwnerEndpoint[] {
  const inRegion = options.filter(({region}) => region === place.region);
  return inRegion.length > 0 ? inRegion : options;
}

function drawRandom(
  options: OwnerEndpoint[],
  random: () => number,
  count: number,
): OwnerEndpoint[] {
  const rest = [...options];
  const drawn: OwnerEndpoint[] = [];
  while (drawn.length < count && rest.length > 0) {
    drawn.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return drawn;
}

/** Expected time of a statement at an owner, with penalties, in milliseconds. */
function expectedCostMs(option: OwnerEndpoint, place: ProxyLocation): number {
  const isOtherZone = option.availabilityZone !== place.availabilityZone;
  const isOtherRegion = option.region !== place.region;
  return (
    option.answerMs * (option.outstandingRequests + 1) +
    (isOtherZone ? OTHER_ZONE_PENALTY_MS : 0) +
    (isOtherRegion ? OTHER_REGION_PENALTY_MS : 0)
  );
}
