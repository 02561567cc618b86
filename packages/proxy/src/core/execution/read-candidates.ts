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

/** Time to an instance and back before it was measured, in milliseconds. */
const INITIAL_ROUND_TRIP_MS: Readonly<Record<NetworkDistance, number>> = {
  [NetworkDistance.SameZone]: 1,
  [NetworkDistance.SameRegion]: 3,
  [NetworkDistance.PaidLink]: 16,
};

/** Shortest time that a statement is expected to run, in milliseconds. */
const MINIMUM_SERVICE_TIME_MS = 0.5;

/** What is needed to list candidates. */
export interface ReadCandidateSources {
  readonly context: ProxyContext;
  readonly owned: OwnedInstances;
  readonly findAdmission: (
    group: string,
    instance: string,
  ) => InstanceAdmission | undefined;
}

/**
 * Lists the instances that could take a read now.
 *
 * @param sources - Where to look.
 * @param group - The group.
 * @param work - The read.
 * @param excluded - Instances that have already failed this read.
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
    const gate = sources.findAdmission(group.name, instance.name);
    if (gate === undefined || !gate.isUsable) continue;
    candidates.push(toReadCandidate(sources.context, instance, gate, work));
  }
  return candidates;
}

function toReadCandidate(
  context: ProxyContext,
  instance: InstanceResource,
  gate: InstanceAdmission,
  work: UpstreamOperation,
): ReadCandidate {
  const distance = networkDistanceTo(context, instance.zone);
  const roundTripMs = INITIAL_ROUND_TRIP_MS[distance];
  const serviceMs = Math.max(
    MINIMUM_SERVICE_TIME_MS,
    gate.durationMs - roundTripMs,
  );
  const queueWaitMs = gate.estimateWaitMs(work);
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

/** The region of each zone; computed once for each list of members. */
function getRegionsByZone(
  members: readonly MemberNode[],
): ReadonlyMap<string, string> {
  const known = regionCache.get(members);
  if (known !== undefined) return known;
  const regions = new Map(members.map(({zone, region}) => [zone, region]));
  regionCache.set(members, regions);
  return regions;
}
