import {rankNodes} from '../placement/index.js';

/** Fewest connections of one share; below it nothing could be served. */
const MINIMUM_SHARE = 1;

/**
 * Divides an instance's connection limit among the live proxies.
 *
 * Every proxy computes the same division from the same members. The remainder
 * goes to the members that rank first for this instance, so that different
 * instances favour different proxies.
 *
 * @param instance - Identifier of the instance.
 * @param limit - Connections that the owner allows in total.
 * @param members - Names of the live proxies.
 * @param self - Name of this proxy.
 * @returns How many connections this proxy may hold, at least one.
 */
export function connectionShare(
  instance: string,
  limit: number,
  members: readonly string[],
  self: string,
): number {
  const everyone = members.includes(self) ? members : [...members, self];
  const base = Math.floor(limit / everyone.length);
  const remainder = limit - base * everyone.length;
  const rank = rankNodes(instance, everyone).indexOf(self);
  return Math.max(MINIMUM_SHARE, base + (rank < remainder ? 1 : 0));
}
