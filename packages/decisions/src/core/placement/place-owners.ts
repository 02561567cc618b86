import type {GroupResource} from '../resources/index.js';
import {rankNodes} from './rendezvous.js';
import type {InstanceOwners, PlacementNode} from './types.js';

/** Number of owners of an instance in its own zone. */
const OWNERS_IN_OWN_ZONE = 2;

/** Number of owners of an instance in each other zone of its group. */
const OWNERS_IN_OTHER_ZONE = 1;

/**
 * Returns the proxies that hold connections to each instance of a group.
 *
 * The hash key is the group, so the first-ranked proxy of each zone owns
 * connections to all instances and can coordinate a change of primary on its
 * own.
 *
 * @param group - The group.
 * @param nodes - The entry VMs that are alive.
 * @returns The owners of each instance, those in the instance's zone first.
 */
export function placeOwners(
  group: GroupResource,
  nodes: readonly PlacementNode[],
): InstanceOwners[] {
  const zones = [...new Set(group.instances.map(({zone}) => zone))].sort();
  const ranked = new Map(
    zones.map(zone => [zone, rankZone(group.name, zone, nodes)]),
  );
  return group.instances.map(({name, zone}) => {
    const own = ranked.get(zone)?.slice(0, OWNERS_IN_OWN_ZONE) ?? [];
    const others = zones
      .filter(other => other !== zone)
      .flatMap(
        other => ranked.get(other)?.slice(0, OWNERS_IN_OTHER_ZONE) ?? [],
      );
    return {instance: name, owners: [...own, ...others]};
  });
}

/**
 * Lists the coordinators of a group: the first-ranked proxy of each zone, in
 * the order in which they should act.
 */
export function rankCoordinators(
  group: GroupResource,
  nodes: readonly PlacementNode[],
): string[] {
  const zones = [...new Set(group.instances.map(({zone}) => zone))];
  const firstRanked = zones.flatMap(zone =>
    rankZone(group.name, zone, nodes).slice(0, 1),
  );
  return rankNodes(`coordinator/${group.name}`, firstRanked);
}

/**
 * Returns the number of shares into which the connection limit of an instance
 * is split: one for each owner, and one in reserve for a change of owner.
 */
export function shareCount(group: GroupResource): number {
  const zones = new Set(group.instances.map(({zone}) => zone));
  const others = (zones.size - 1) * OWNERS_IN_OTHER_ZONE;
  return OWNERS_IN_OWN_ZONE + others + 1;
}

/**
 * Returns how many connections one share allows.
 *
 * @param connectionLimit - Connection limit of the instance.
 */
export function shareSize(
  group: GroupResource,
  connectionLimit: number,
): number {
  return Math.floor(connectionLimit / shareCount(group));
}

/** Ranks the VMs of one zone for a group. */
function rankZone(
  group: string,
  zone: string,
  nodes: readonly PlacementNode[],
): string[] {
  const names = nodes.filter(node => node.zone === zone).map(({name}) => name);
  return rankNodes(group, names);
}
