import type {ShareRequest} from '@sapphireglade/decisions';
import {listGroups, placeOwners, shareSize} from '@sapphireglade/decisions';
import type {ProxyContext} from '../context/index.js';
import type {ConnectionCounter} from './connection-shares.js';

/** The shares that this process requests of one group. */
export interface GroupShareRequests {
  readonly group: string;
  readonly shareRequests: readonly ShareRequest[];
}

/**
 * Lists the shares that this process should hold.
 *
 * @param context - Supplies configuration and members.
 * @param countOpenConnections - Counts the open connections to an instance.
 * @param isEnding - Whether the process stops and every share is to be
 *   released.
 */
export function listShareRequests(
  context: ProxyContext,
  countOpenConnections: ConnectionCounter,
  isEnding: boolean,
): GroupShareRequests[] {
  const nodes = context.members.value.filter(node => !node.isLeaving);
  const {vm} = context.settings;
  return listGroups(context.configuration.value).map(group => {
    const ownersByInstance = new Map(
      placeOwners(group, nodes).map(({instance, owners}) => [instance, owners]),
    );
    const shareRequests = group.instances.map(({name, connectionLimit}) => {
      const isOwner = ownersByInstance.get(name)?.includes(vm) === true;
      const size = shareSize(group, connectionLimit);
      return {
        instance: name,
        size: isOwner && !isEnding ? size : 0,
        limit: connectionLimit,
        openConnections: countOpenConnections(group.name, name),
      };
    });
    return {group: group.name, shareRequests};
  });
}
