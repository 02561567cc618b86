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

/** Sources of a status report. */
export interface StatusSources {
  readonly members: MembershipTracker;
  readonly shares: Pick<ConnectionShareTask, 'grants'>;
  readonly store: InstrumentedStore;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
}

/**
 * Builds the status report of this proxy.
 *
 * @param zones - The configuration status of every zone.
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
  const observation = context.observations.get(group, name);
  return {
    name,
    zone,
    state,
    role: observation?.status.role ?? null,
    term: observation?.status.term ?? null,
    position: observation?.status.position.position ?? null,
    lagEntries: computeLagEntries(context, group, name),
    answeredAgoMs:
      observation === undefined
        ? null
        : performance.now() - observation.answeredAtMs,
    connections: observation?.status.connections ?? null,
    connectionLimit,
    shares: [...sources.shares.grants(group, name)],
  };
}

/** Log entries behind the primary; null unless this proxy observes both. */
function computeLagEntries(
  context: ProxyContext,
  group: string,
  instance: string,
): number | null {
  const primary = context.groupViews.get(group)?.primary;
  if (primary === undefined) return null;
  const primaryPosition = context.observations.get(group, primary)?.status
    .position;
  const instancePosition = context.observations.get(group, instance)?.status
    .position;
  if (primaryPosition === undefined || instancePosition === undefined)
    return null;
  return Math.max(0, primaryPosition.position - instancePosition.position);
}
