import type {
  InstanceCandidate,
  LogPosition,
  ObservedPosition,
} from '@sapphireglade/decisions';
import {
  comparePositions,
  rankInstances,
  ReadConsistency,
} from '@sapphireglade/decisions';
import type {Route} from '../configuration/index.js';
import type {DatabaseGroup, GroupMember} from '../groups/index.js';
import {hasLeftLog, toInstanceCandidate} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import type {ExecutionRequest} from './runnable-statement.js';
import type {ExecutionContext} from './session-context.js';

/** Subtracted from the allowed staleness because timers fire late, in milliseconds. */
const STALENESS_MARGIN_MS = 20;

/**
 * Time after which an instance whose log has left the recorded term is queried
 * again, in milliseconds; a former primary follows the next one about as fast.
 */
const LEFT_LOG_RETRY_MS = 1_000;

/** An instance that may serve a statement, and the position that it must have reached. */
export interface ExecutionTarget {
  readonly member: GroupMember;
  readonly isPrimary: boolean;
  readonly atLeast: LogPosition | undefined;
  /** The observed position that proves a replica fresh enough, if one is known. */
  readonly freshnessPosition: ObservedPosition | undefined;
}

/**
 * Lists the instances that may serve a read, best first.
 *
 * @param context - Region of this proxy and of the availability zones.
 * @param group - The group.
 * @param route - Consistency and maximum staleness of the read.
 * @param startedAtMs - When the read or its transaction started.
 * @param ownCommit - Position of the session's last commit, if any.
 */
export function selectReadTargets(
  context: ExecutionContext,
  group: DatabaseGroup,
  route: Route,
  startedAtMs: number,
  ownCommit: LogPosition | undefined,
): ExecutionTarget[] {
  const nowMs = steadyNowMs();
  const primary = group.usablePrimary();
  const requiredFreshness = freshPosition(group, route, startedAtMs);
  const required = newerPosition(requiredFreshness?.position, ownCommit);
  const candidates: InstanceCandidate[] = [];
  if (requiredFreshness !== undefined && required !== undefined) {
    const {regionOf, region} = context;
    const options = group.replicaOptions(required, regionOf, region);
    candidates.push(
      ...options.map(each => rankLeftLogLast(group, each, nowMs)),
    );
  }
  if (typeof primary === 'object') {
    const zone = primary.instance.availabilityZone;
    const isPaidLink = context.regionOf(zone) !== context.region;
    candidates.push(toInstanceCandidate(primary, isPaidLink, 0, true));
  }
  return rankInstances(candidates, nowMs).flatMap(({id, isPrimary}) => {
    const member = group.members.get(id);
    if (member === undefined) return [];
    const atLeast = isPrimary ? group.minimumReadPosition(ownCommit) : required;
    return [{member, isPrimary, atLeast, freshnessPosition: requiredFreshness}];
  });
}

/** Has an instance tried last for a while if its log has left the recorded term. */
function rankLeftLogLast(
  group: DatabaseGroup,
  candidate: InstanceCandidate,
  nowMs: number,
): InstanceCandidate {
  const member = group.members.get(candidate.id);
  if (member === undefined || !hasLeftLog(group, member)) return candidate;
  const shownAtMs = member.shown.latest?.sentAtMs ?? nowMs;
  const waitMs = shownAtMs + LEFT_LOG_RETRY_MS - nowMs;
  return {...candidate, catchUpMs: Math.max(candidate.catchUpMs, waitMs)};
}

/**
 * Returns whether replicas are excluded only because the position that makes
 * them fresh enough is unknown.
 */
export function isFreshnessUnknown(
  group: DatabaseGroup,
  {route, startedAtMs}: ExecutionRequest,
): boolean {
  if (route.consistency === ReadConsistency.Primary) return false;
  return freshPosition(group, route, startedAtMs) === undefined;
}

/** Returns the position that makes a replica fresh enough, if it is known. */
function freshPosition(
  group: DatabaseGroup,
  route: Route,
  startedAtMs: number,
): ObservedPosition | undefined {
  if (route.consistency === ReadConsistency.Primary) return undefined;
  const notBeforeMs =
    startedAtMs - Math.max(0, route.maximumStalenessMs - STALENESS_MARGIN_MS);
  return group.requiredPosition(notBeforeMs);
}

/** Returns the newer of two positions, or the only one that is known. */
function newerPosition(
  left: LogPosition | undefined,
  right: LogPosition | undefined,
): LogPosition | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return comparePositions(left, right) >= 0 ? left : right;
}
