import type {
  GroupResource,
  InstanceResource,
  ReadCandidate,
} from '@sapphireglade/decisions';
import {NetworkDistance} from '@sapphireglade/decisions';
import type {MemberNode, ProxyContext} from '../context/index.js';
import type {OwnedInstances} from '../pool/index.js';
import type {
  UpstreamOperation,
  InstanceAdmission,
} from './instance-admission.js';

/**
 * Assumed round trip time to an instance without measurements, in milliseconds.
 */
const INITIAL_ROUND_TRIP_MS: Readonly<Record<NetworkDistance, number>> = {
  [NetworkDistance.SameZone]: 1,
  [NetworkDistance.SameRegion]: 3,
  [NetworkDistance.PaidLink]: 16,
};

/** Lower bound of the expected run time of a statement, in milliseconds. */
const MINIMUM_SERVICE_TIME_MS = 0.5;

/** State from which read candidates are listed. */
export interface ReadCandidateSources {
  readonly context: ProxyContext;
  readonly owned: OwnedInstances;
  readonly findAdmission: (
    group: string,
    instance: string,
  ) => InstanceAdmission | undefined;
}

/**
 * Lists the usable instances that can serve a read now.
 *
 * @param sources - The instances of this process and their admission queues.
 * @param group - The group to read from.
 * @param work - The read operation.
 * @param excluded - Instances on which this read already failed.
 */
export function listReadCandidates(
  sources: ReadCandidateSources,
  group: GroupResource,
  work: UpstreamOperation,
  excluded: ReadonlySet<string>,
): ReadCandidate[] {
  const candidates: ReadCandidate[] = [];
  for (const instance of group.instances) {
    if (excluded.has(instance.name) || instance.state !== 'active') continue;
    const admission = sources.findAdmission(group.name, instance.name);
    if (admission === undefined || !admission.isUsable) continue;
    candidates.push(
      toReadCandidate(sources.context, instance, admission, work),
    );
  }
  return candidates;
}

function toReadCandidate(
  context: ProxyContext,
  instance: InstanceResource,
  admission: InstanceAdmission,
  work: UpstreamOperation,
): ReadCandidate {
  const distance = networkDistanceTo(context, instance.zone);
  const roundTripMs = INITIAL_ROUND_TRIP_MS[distance];
  const serviceMs = Math.max(
    MINIMUM_SERVICE_TIME_MS,
    admission.durationMs - roundTripMs,
  );
  const queueWaitMs = admission.estimateWaitMs(work);
  const {name} = instance;
  return {instance: name, distance, roundTripMs, queueWaitMs, serviceMs};
}

function networkDistanceTo(
  context: ProxyContext,
  zone: string,
): NetworkDistance {
  const {settings, members} = context;
  if (zone === settings.zone) return NetworkDistance.SameZone;
  const region = getRegionsByZone(members.value).get(zone);
  return region === settings.region
    ? NetworkDistance.SameRegion
    : NetworkDistance.PaidLink;
}

const regionCache = new WeakMap<
  readonly MemberNode[],
  ReadonlyMap<string, string>
>();

/** Returns the region of each zone, cached per list of members. */
function getRegionsByZone(
  members: readonly MemberNode[],
): ReadonlyMap<string, string> {
  const cached = regionCache.get(members);
  if (cached !== undefined) return cached;
  const regions = new Map(members.map(({zone, region}) => [zone, region]));
  regionCache.set(members, regions);
  return regions;
}
