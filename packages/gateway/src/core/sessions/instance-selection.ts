import type {InstanceOption, LogPosition} from '@sapphireglade/decisions';
import {
  comparePositions,
  rankInstances,
  ReadConsistency,
} from '@sapphireglade/decisions';
import type {Route} from '../configuration/index.js';
import type {DatabaseGroup, GroupMember} from '../groups/index.js';
import {toOption} from '../groups/index.js';
import {steadyNow} from '../time/index.js';
import type {ExecutionRequest} from './runnable-statement.js';
import type {ExecutionContext} from './session-context.js';

/** Taken off the allowed age, for timers that fire late, in milliseconds. */
const STALENESS_MARGIN_MS = 20;

/** An instance that may serve a read, and the position that it must have. */
export interface ReadTarget {
  readonly member: GroupMember;
  readonly isPrimary: boolean;
  readonly atLeast: LogPosition | undefined;
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
): ReadTarget[] {
  const nowMs = steadyNow();
  const primary = group.usablePrimary();
  const required = requiredPosition(group, route, startedAtMs, ownCommit);
  const options: InstanceOption[] = [];
  if (required !== undefined) {
    options.push(...group.replicaOptions(context.regionOf, context.region));
  }
  if (typeof primary === 'object') {
    const zone = primary.instance.availabilityZone;
    const isPaidLink = context.regionOf(zone) !== context.region;
    options.push(toOption(primary, isPaidLink, true));
  }
  return rankInstances(options, nowMs).flatMap(({id, isPrimary}) => {
    const member = group.members.get(id);
    if (member === undefined) return [];
    const atLeast = isPrimary ? group.floorWith(ownCommit) : required;
    return [{member, isPrimary, atLeast}];
  });
}

/**
 * Says whether replicas are left out only because it is not known which
 * position would make them fresh enough.
 */
export function isFreshnessUnknown(
  group: DatabaseGroup,
  {route, startedAtMs, ownCommit}: ExecutionRequest,
): boolean {
  if (route.consistency === ReadConsistency.Primary) return false;
  return requiredPosition(group, route, startedAtMs, ownCommit) === undefined;
}

/** The position that makes a replica fresh enough, if it is known. */
function requiredPosition(
  group: DatabaseGroup,
  route: Route,
  startedAtMs: number,
  ownCommit: LogPosition | undefined,
): LogPosition | undefined {
  if (route.consistency === ReadConsistency.Primary) return undefined;
  const notBeforeMs =
    startedAtMs - Math.max(0, route.maximumStalenessMs - STALENESS_MARGIN_MS);
  const fresh = group.positions.positionFor(notBeforeMs);
  if (fresh === undefined || ownCommit === undefined) return fresh;
  const isOwnNewer = comparePositions(ownCommit, fresh) > 0;
  return isOwnNewer ? ownCommit : fresh;
}
