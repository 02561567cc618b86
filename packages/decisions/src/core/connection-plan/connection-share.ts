import {rankNodes} from '../placement/index.js';

/** Fewest connections of one share; with fewer, no statement could run. */
const MINIMUM_CONNECTIONS = 1;

/**
 * A proxy that holds connections to an instance, and the weight of its share.
 */
export interface WeightedHolder {
  /** Name of the proxy. */
  readonly name: string;
  /** Weight of its share; an integer. */
  readonly weight: number;
  /**
   * Whether holders of before it may still have connections beyond their shares.
   * It gets no part of the remainder then, so that the spare share suffices.
   */
  readonly isNew?: boolean | undefined;
}

/**
 * Maximum weight of an owner in the zone of the instance, from which most of
 * its statements come. Other owners have a weight of 1.
 */
const MAXIMUM_NEAR_WEIGHT = 3;

/**
 * Fewest connections that owners in other zones must keep for owners in the
 * zone of the instance to get more.
 */
const MINIMUM_FAR_CONNECTIONS = 2;

/**
 * Placeholder for an owner that takes over before the previous one has closed
 * its connections. It has the highest weight of all owners.
 */
const SPARE_HOLDER = '?spare';

/**
 * Assigns the weights of the shares of an instance's owners.
 *
 * Owners in the zone of the instance get more, because most statements arrive
 * there, as long as the other owners keep enough for their own callers.
 *
 * @param limit - Connections that the owners may hold in total.
 * @param owners - Names of all proxies that may hold connections.
 * @param isNear - Returns whether an owner is in the zone of the instance.
 * @param isNew - Returns whether an owner has just become one.
 * @returns The holders with their weights, and a spare one for an owner that
 *   takes over.
 */
export function assignHolderWeights(
  limit: number,
  owners: readonly string[],
  isNear: (owner: string) => boolean,
  isNew: (owner: string) => boolean = () => false,
): WeightedHolder[] {
  const near = owners.filter(isNear).length;
  const far = owners.length - near;
  let nearWeight = MAXIMUM_NEAR_WEIGHT;
  const farShare = (): number => limit / (near * nearWeight + far + nearWeight);
  while (nearWeight > 1 && farShare() < MINIMUM_FAR_CONNECTIONS)
    nearWeight -= 1;
  return [
    ...owners.map(name => ({
      name,
      weight: isNear(name) ? nearWeight : 1,
      isNew: isNew(name),
    })),
    {name: SPARE_HOLDER, weight: nearWeight},
  ];
}

/**
 * Divides an instance's connection limit among the proxies that own its group.
 *
 * Every proxy computes the same division from the same holders. The remainder
 * goes to the holders that rank first for this instance, so that it goes to
 * different proxies for different instances.
 *
 * @param instance - Identifier of the instance.
 * @param limit - Connections that the owners may hold in total.
 * @param holders - All proxies that may hold connections.
 * @returns How many connections each holder may hold, at least one.
 */
export function divideConnections(
  instance: string,
  limit: number,
  holders: readonly WeightedHolder[],
): ReadonlyMap<string, number> {
  const total = holders.reduce((sum, {weight}) => sum + weight, 0);
  const shareOf = ({weight}: WeightedHolder): number =>
    Math.floor((limit * weight) / total);
  const allotted = holders.reduce((sum, each) => sum + shareOf(each), 0);
  const names = holders.map(({name}) => name);
  const first = new Set(
    rankNodes(instance, names).slice(0, Math.max(0, limit - allotted)),
  );
  return new Map(
    holders.map(holder => {
      const isFirst = first.has(holder.name) && holder.isNew !== true;
      const share = shareOf(holder) + (isFirst ? 1 : 0);
      return [holder.name, Math.max(MINIMUM_CONNECTIONS, share)];
    }),
  );
}

/**
 * Returns the share of one proxy of an instance's connection limit.
 *
 * @param instance - Identifier of the instance.
 * @param limit - Connections that the owners may hold in total.
 * @param holders - All proxies that may hold connections.
 * @param self - Name of this proxy; it has a weight of 1 if it is not among the
 *   holders.
 * @returns How many connections this proxy may hold, at least one.
 */
export function connectionShare(
  instance: string,
  limit: number,
  holders: readonly WeightedHolder[],
  self: string,
): number {
  const isHolder = holders.some(({name}) => name === self);
  const all = isHolder ? holders : [...holders, {name: self, weight: 1}];
  return divideConnections(instance, limit, all).get(self) ?? 0;
}
