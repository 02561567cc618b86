import type {
  GroupOverview,
  InstanceOverview,
  StatusResponse,
} from '@sapphireglade/protocol';
import {formatTable} from './table.js';

/** Age of the last response after which an instance is shown as silent. */
const UNRESPONSIVE_AFTER_MS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Formats the status of the fleet as tables.
 *
 * @param status - Status reported by one proxy.
 */
export function formatStatus(status: StatusResponse): string[] {
  return [
    ...formatProxy(status),
    '',
    ...formatZones(status),
    '',
    ...formatGroups(status.groups),
    '',
    ...formatInstances(status.groups),
    '',
    ...formatMembers(status),
  ];
}

function formatProxy(status: StatusResponse): string[] {
  const state = status.isStopping
    ? 'stopping'
    : status.isReady
      ? 'ready'
      : 'not ready';
  const lines = [
    `Proxy ${status.proxy} in ${status.zone}: ${state}, configuration ${status.revision}.`,
  ];
  if (status.storeUnavailableSince !== null) {
    lines.push(
      `WARNING: the store has not responded since ${status.storeUnavailableSince}; configuration cannot be changed until it does.`,
    );
  }
  return lines;
}

function formatZones({zones}: StatusResponse): string[] {
  return formatTable(
    ['ZONE', 'IN FORCE', 'MEMBERS', 'UNCONFIRMED SINCE', 'DELEGATE'],
    zones.map(zone => [
      zone.zone,
      zone.revision,
      zone.members,
      zone.unconfirmedSince,
      zone.delegate,
    ]),
  );
}

function formatGroups(groups: readonly GroupOverview[]): string[] {
  return formatTable(
    ['GROUP', 'PRIMARY', 'TERM', 'INSTANCES'],
    groups.map(({name, primary, term, instances}) => [
      name,
      primary,
      term,
      instances.length,
    ]),
  );
}

function formatInstances(groups: readonly GroupOverview[]): string[] {
  const rows = groups.flatMap(group =>
    group.instances.map(instance => [
      `${group.name}/${instance.name}`,
      instance.zone,
      instance.state,
      formatRole(group, instance),
      instance.term,
      instance.position,
      instance.lagEntries,
      formatLastResponseAge(instance.answeredAgoMs),
      `${instance.connections ?? '-'}/${instance.connectionLimit}`,
      instance.shares
        .map(({holder, connections}) => `${holder}:${connections}`)
        .join(' '),
    ]),
  );
  const headings =
    'INSTANCE,ZONE,STATE,ROLE,TERM,POSITION,LAG,ANSWERED AGO,CONNECTIONS,SHARES';
  return formatTable(headings.split(','), rows);
}

/** Formats the role; a primary that the group has replaced is a former one. */
function formatRole(
  group: GroupOverview,
  {name, role}: InstanceOverview,
): string | null {
  const isFormer = role === 'primary' && group.primary !== name;
  return isFormer ? 'former primary' : role;
}

/** Formats the time since the last response; a long one is marked as silent. */
function formatLastResponseAge(answeredAgoMs: number | null): string | null {
  if (answeredAgoMs === null) return null;
  if (answeredAgoMs < UNRESPONSIVE_AFTER_MS)
    return `${Math.round(answeredAgoMs)} ms`;
  const seconds = answeredAgoMs / MILLISECONDS_PER_SECOND;
  return `SILENT for ${seconds.toFixed(1)} s`;
}

function formatMembers({members}: StatusResponse): string[] {
  return formatTable(
    ['ENTRY VM', 'ZONE', 'REGION', 'ADDRESS', 'LISTED', 'SEEN'],
    members.map(member => [
      member.name,
      member.zone,
      member.region,
      member.address,
      member.listed,
      member.isStopping ? 'stopping' : member.reachability,
    ]),
  );
}
