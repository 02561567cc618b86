import type {GroupResource} from '../resources/index.js';
import {placeOwners, rankCoordinators} from './place-owners.js';
import type {PlacementNode} from './types.js';

/** An entry VM with the region of its zone. */
export interface RegionalNode extends PlacementNode {
  readonly region: string;
}

/** Where the choosing proxy stands. */
export interface EntryProxy {
  readonly zone: string;
  readonly region: string;
}

/**
 * Lists the proxies that can serve a group, in the order in which they should
 * be asked: the lead owner of the own zone, those of the own region, then those
 * behind the link that is paid for by volume; after them the second-ranked
 * owners, which see one instance themselves and ask others about the rest.
 *
 * @param group - The group.
 * @param nodes - The entry VMs that are alive.
 * @param entry - The proxy that the caller reached.
 * @returns Names of proxies.
 */
export function rankOwners(
  group: GroupResource,
  nodes: readonly RegionalNode[],
  entry: EntryProxy,
): string[] {
  const byName = new Map(nodes.map(node => [node.name, node]));
  const leads = new Set(rankCoordinators(group, nodes));
  const all = placeOwners(group, nodes).flatMap(({owners}) => owners);
  const others = [...new Set(all)].filter(name => !leads.has(name));
  const byDistance = (names: Iterable<string>): string[] =>
    [...names]
      .map(name => ({name, distance: distanceTo(byName.get(name), entry)}))
      .sort((left, right) => left.distance - right.distance)
      .map(({name}) => name);
  return [...byDistance(leads), ...byDistance(others)];
}

/** What an entry proxy knows of the way to an owner. */
export interface OwnerHealth {
  /** Whether a link is open, or the owner is this process. */
  readonly isLinkOpen: boolean;
  /** Until when the owner is asked last, in milliseconds. */
  readonly avoidUntilMs: number;
}

/**
 * Orders owners by what is known of the way to them. Those to avoid come last,
 * so that they are still asked when nobody else is left.
 *
 * @param owners - Names, preferred first.
 * @param healthOf - Gives what is known of an owner.
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
