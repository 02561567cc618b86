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
import {toInstanceCandidate} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import type {ExecutionRequest} from './runnable-statement.js';
import type {ExecutionContext} from './session-context.js';

/** Taken off the allowed age, for timers that fire late, in milliseconds. */
const STALENESS_MARGIN_MS = 20;

/** An instance that may serve a read, and the position that it must have. */
export interface ExecutionTarget {
  readonly member: GroupMember;
  readonly isPrimary: boolean;
  readonly atLeast: LogPosition | undefined;
  /** What makes a replica fresh enough, if that is why it was chosen. */
  readonly freshnessPosition: ObservedPosition | undefined;
}

/**
 * Lists the instances that may serve a read, best first.
 *
 * @param context - Where this proxy is.
 * @param group - The group.
 * @param route - How fresh the read must be.
 * @param startedAtMs - When the read or its transaction began.
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
  const basis = freshPosition(group, route, startedAtMs);
  const required = newerPosition(basis?.position, ownCommit);
  const options: InstanceCandidate[] = [];
  if (basis !== undefined) {
    options.push(...group.replicaOptions(context.regionOf, context.region));
  }
  if (typeof primary === 'object') {
    const zone = primary.instance.availabilityZone;
    const isPaidLink = context.regionOf(zone) !== context.region;
    options.push(toInstanceCandidate(primary, isPaidLink, true));
  }
  return rankInstances(options, nowMs).flatMap(({id, isPrimary}) => {
    const member = group.members.get(id);
    if (member === undefined) return [];
    const atLeast = isPrimary ? group.minimumReadPosition(ownCommit) : required;
    return [{member, isPrimary, atLeast, freshnessPosition: basis}];
  });
}

/**
 * Says whether replicas are left out only because it is not known which
 * position would make them fresh enough.
 */
export function isFreshnessUnknown(
  group: DatabaseGroup,
  {route, startedAtMs}: ExecutionRequest,
): boolean {
  if (route.consistency === ReadConsistency.Primary) return false;
  return freshPosition(group, route, startedAtMs) === undefined;
}

/** The position that makes a replica fresh enough, if it is known. */
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

/** The newer of two positions, if any is known. */
function newerPosition(
  left: LogPosition | undefined,
  right: LogPosition | undefined,
): LogPosition | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return comparePositions(left, right) >= 0 ? left : right;
}
