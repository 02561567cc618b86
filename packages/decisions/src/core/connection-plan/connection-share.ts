import {rankNodes} from '../placement/index.js';

/** Fewest connections of one share; below it nothing could be served. */
const MINIMUM_CONNECTIONS = 1;

/** Who holds connections to an instance, and how many compared with others. */
export interface WeightedHolder {
  /** Name of the proxy. */
  readonly name: string;
  /** Weight of its share; a whole number. */
  readonly weight: number;
}

/** Most parts of an owner in the zone of the instance, where most of its statements come from; others have one. */
const MAXIMUM_NEAR_WEIGHT = 3;

/** Fewest connections of an owner elsewhere for which owners near the instance get more. */
const MINIMUM_FAR_CONNECTIONS = 2;

/** Stands for an owner that takes over before the one before it has let go; as heavy as any. */
const SPARE_HOLDER = '?spare';

/**
 * Weighs the shares of an instance's owners.
 *
 * Answers the pattern that most statements come to the owners near an instance,
 * as far as the others keep enough for their own callers.
 *
 * @param limit - Connections that the owners may hold in total.
 * @param owners - Names of everybody who may hold some.
 * @param isNear - Whether an owner is in the instance's zone.
 * @returns The holders with their parts, and one more for an owner that takes
 *   over.
 */
export function assignHolderWeights(
  limit: number,
  owners: readonly string[],
  isNear: (owner: string) => boolean,
): WeightedHolder[] {
  const near = owners.filter(isNear).length;
  const far = owners.length - near;
  let nearParts = MAXIMUM_NEAR_WEIGHT;
  const farShare = (): number => limit / (near * nearParts + far + nearParts);
  while (nearParts > 1 && farShare() < MINIMUM_FAR_CONNECTIONS) nearParts -= 1;
  return [
    ...owners.map(name => ({name, weight: isNear(name) ? nearParts : 1})),
    {name: SPARE_HOLDER, weight: nearParts},
  ];
}

/**
 * Divides an instance's connection limit among the proxies that own its group.
 *
 * Every proxy computes the same division from the same holders. The remainder
 * goes to the holders that rank first for this instance, so that different
 * instances favour different proxies.
 *
 * @param instance - Identifier of the instance.
 * @param limit - Connections that the owners may hold in total.
 * @param holders - Everybody who may hold some.
 * @param self - Name of this proxy; it counts with one part if it is not among them.
 * @returns How many connections this proxy may hold, at least one.
 */
export function connectionShare(
  instance: string,
  limit: number,
  holders: readonly WeightedHolder[],
  self: string,
): number {
  const own = holders.find(({name}) => name === self) ?? {
    name: self,
    weight: 1,
  };
  const everyone = holders.includes(own) ? holders : [...holders, own];
  const total = everyone.reduce((sum, {weight: parts}) => sum + parts, 0);
  const shareOf = ({weight: parts}: WeightedHolder): number =>
    Math.floor((limit * parts) / total);
  const given = everyone.reduce((sum, each) => sum + shareOf(each), 0);
  const names = everyone.map(({name}) => name);
  const rank = rankNodes(instance, names).indexOf(self);
  const extra = rank < limit - given ? 1 : 0;
  return Math.max(MINIMUM_CONNECTIONS, shareOf(own) + extra);
}
