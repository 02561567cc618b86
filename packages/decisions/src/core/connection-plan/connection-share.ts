import {rankNodes} from '../placement/index.js';

/** Fewest connections of one share; below it nothing could be served. */
const MINIMUM_SHARE = 1;

/** Who holds connections to an instance, and how many compared with others. */
export interface WeightedHolder {
  /** Name of the proxy. */
  readonly name: string;
  /** Weight of its share; a whole number. */
  readonly parts: number;
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
  const own = holders.find(({name}) => name === self) ?? {name: self, parts: 1};
  const everyone = holders.includes(own) ? holders : [...holders, own];
  const total = everyone.reduce((sum, {parts}) => sum + parts, 0);
  const shareOf = ({parts}: WeightedHolder): number =>
    Math.floor((limit * parts) / total);
  const given = everyone.reduce((sum, each) => sum + shareOf(each), 0);
  const names = everyone.map(({name}) => name);
  const rank = rankNodes(instance, names).indexOf(self);
  const extra = rank < limit - given ? 1 : 0;
  return Math.max(MINIMUM_SHARE, shareOf(own) + extra);
}
