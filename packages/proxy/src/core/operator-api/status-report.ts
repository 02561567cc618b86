import type {GroupResource, InstanceResource} from '@sapphireglade/decisions';
import {listGroups} from '@sapphireglade/decisions';
import type {
  GroupOverview,
  InstanceOverview,
  StatusResponse,
  ZoneConfigurationStatus,
} from '@sapphireglade/protocol';
import type {ProxyContext} from '../context/index.js';
import type {MembershipTracker} from '../membership/index.js';
import type {ConnectionShareTask} from '../shares/index.js';
import type {InstrumentedStore} from '../store/index.js';

/** What the status of a proxy is made of. */
export interface StatusSources {
  readonly members: MembershipTracker;
  readonly shares: Pick<ConnectionShareTask, 'grants'>;
  readonly store: InstrumentedStore;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
}

/**
 * Describes the system as this proxy sees it.
 *
 * @param zones - What is in force in every zone.
 */
export function describeStatus(
  context: ProxyContext,
  sources: StatusSources,
  zones: readonly ZoneConfigurationStatus[],
): StatusResponse {
  const {settings, identity, configuration} = context;
  const unavailableSince = sources.store.unavailableSince;
  return {
    proxy: settings.vm,
    boot: identity.boot,
    zone: settings.zone,
    isReady: sources.isReady(),
    isStopping: sources.isStopping(),
    revision: configuration.value.revision,
    storeUnavailableSince:
      unavailableSince === null
        ? null
        : new Date(unavailableSince).toISOString(),
    zones: [...zones],
    groups: listGroups(configuration.value).map(group =>
      describeGroup(context, sources, group),
    ),
    members: sources.members.describeMembers(),
  };
}

function describeGroup(
  context: ProxyContext,
  sources: StatusSources,
  group: GroupResource,
): GroupOverview {
  const view = context.groupViews.get(group.name);
  return {
    name: group.name,
    primary: view?.primary ?? null,
    term: view?.term ?? null,
    instances: group.instances.map(instance =>
      describeInstance(context, sources, group.name, instance),
    ),
  };
}

function describeInstance(
  context: ProxyContext,
  sources: StatusSources,
  group: string,
  instance: InstanceResource,
): InstanceOverview {
  const {name, zone, state, connectionLimit} = instance;
  const seen = context.observations.get(group, name);
  return {
    name,
    zone,
    state,
    role: seen?.status.role ?? null,
    term: seen?.status.term ?? null,
    position: seen?.status.position.position ?? null,
    lagEntries: computeLagEntries(context, group, name),
    answeredAgoMs:
      seen === undefined ? null : performance.now() - seen.answeredAtMs,
    connections: seen?.status.connections ?? null,
    connectionLimit,
    shares: [...sources.shares.grants(group, name)],
  };
}

/** Entries behind the primary; null where one of both is not watched here. */
function computeLagEntries(
  context: ProxyContext,
  group: string,
  instance: string,
): number | null {
  const primary = context.groupViews.get(group)?.primary;
  if (primary === undefined) return null;
  const ahead = context.observations.get(group, primary)?.status.position;
  const own = context.observations.get(group, instance)?.status.position;
  if (ahead === undefined || own === undefined) return null;
  return Math.max(0, ahead.position - own.position);
}
