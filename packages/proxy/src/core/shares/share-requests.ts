import type {ShareRequest} from '@sapphireglade/decisions';
import {listGroups, placeOwners, shareSize} from '@sapphireglade/decisions';
import type {ProxyContext} from '../context/index.js';
import type {ConnectionCounter} from './connection-shares.js';

/** What this process wishes of one group. */
export interface GroupShareRequests {
  readonly group: string;
  readonly wishes: readonly ShareRequest[];
}

/**
 * Says which shares this process should hold.
 *
 * @param context - Configuration and members.
 * @param held - Connections that are open now.
 * @param isEnding - True at the stop: every share is to be given back.
 */
export function listShareRequests(
  context: ProxyContext,
  held: ConnectionCounter,
  isEnding: boolean,
): GroupShareRequests[] {
  const nodes = context.members.value.filter(node => !node.isLeaving);
  const {vm} = context.settings;
  return listGroups(context.configuration.value).map(group => {
    const placed = new Map(
      placeOwners(group, nodes).map(({instance, owners}) => [instance, owners]),
    );
    const wishes = group.instances.map(({name, connectionLimit}) => {
      const isOwner = placed.get(name)?.includes(vm) === true;
      const size = shareSize(group, connectionLimit);
      return {
        instance: name,
        size: isOwner && !isEnding ? size : 0,
        limit: connectionLimit,
        openConnections: held(group.name, name),
      };
    });
    return {group: group.name, wishes};
  });
}
