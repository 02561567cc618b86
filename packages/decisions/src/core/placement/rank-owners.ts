import type {GroupResource} from '../resources/index.js';
import {placeOwners, rankCoordinators} from './place-owners.js';
import type {PlacementNode} from './types.js';

/** An entry VM with the region of its zone. */
export interface RegionalNode extends PlacementNode {
  readonly region: string;
}

/** Location of the proxy that chooses an owner. */
export interface EntryProxy {
  readonly zone: string;
  readonly region: string;
}

/**
 * Lists the proxies that can serve a group in the order in which to contact
 * them: the lead owner of the own zone, the lead owners of the own region, then
 * those behind the link that is billed by volume. The second-ranked owners
 * follow; they observe one instance directly and get the state of the others
 * from other proxies.
 *
 * @param group - The group.
 * @param nodes - The entry VMs that are alive.
 * @param entry - The proxy to which the caller is connected.
 * @returns Names of the proxies.
 */
export function rankOwners(
  group: GroupResource,
  nodes: readonly RegionalNode[],
  entry: EntryProxy,
): string[] {
  const byName = new Map(nodes.map(node => [node.name, node]));
  const leadOwners = new Set(rankCoordinators(group, nodes));
  const all = placeOwners(group, nodes).flatMap(({owners}) => owners);
  const others = [...new Set(all)].filter(name => !leadOwners.has(name));
  const byDistance = (names: Iterable<string>): string[] =>
    [...names]
      .map(name => ({name, distance: distanceTo(byName.get(name), entry)}))
      .sort((left, right) => left.distance - right.distance)
      .map(({name}) => name);
  return [...byDistance(leadOwners), ...byDistance(others)];
}

/** Health of the link from an entry proxy to an owner. */
export interface OwnerHealth {
  /** Whether a link is open, or the owner is this process. */
  readonly isLinkOpen: boolean;
  /** Until when other owners are preferred, in milliseconds. */
  readonly avoidUntilMs: number;
}

/**
 * Orders owners by the health of their links. Owners to avoid come last, so
 * that they are still contacted when no other owner is left.
 *
 * @param owners - Names, preferred first.
 * @param healthOf - Returns the health of an owner.
 * @param nowMs - The monotonic time, in milliseconds.
 */
export function orderByHealth(
  owners: readonly string[],
  healthOf: (owner: string) => OwnerHealth,
  nowMs: number,
): string[] {
  const usable: string[] = [];
  const avoided: string[] = [];
  for (const owner of owners) {
    const isAvoided = healthOf(owner).avoidUntilMs > nowMs;
    (isAvoided ? avoided : usable).push(owner);
  }
  const open = avoided.filter(owner => healthOf(owner).isLinkOpen);
  const closed = avoided.filter(owner => !healthOf(owner).isLinkOpen);
  return [...usable, ...open, ...closed];
}

function distanceTo(node: RegionalNode | undefined, entry: EntryProxy): number {
  if (node?.zone === entry.zone) return 0;
  return node?.region === entry.region ? 1 : 2;
}
