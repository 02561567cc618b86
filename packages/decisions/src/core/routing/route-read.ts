import type {LogPosition} from '../groups/index.js';
import {comparePositions, InstanceRole} from '../groups/index.js';
import {findPositionForAge} from './freshness.js';
import {isInTerm} from './is-in-term.js';
import {findFirstAtOrAfter} from './freshness-points.js';
import {estimateLagMs, READMISSION_FRACTION} from './replica-lag.js';
import type {
  GroupFreshness,
  ReadCandidate,
  ReadDecision,
  ReadRequest,
  RefuseReadDecision,
} from './types.js';
import {NetworkDistance} from './types.js';

/** How much longer a replica may take than the primary, in milliseconds. */
const PRIMARY_PENALTY_MS = 10;

/** How much longer an instance of the own region may take, in milliseconds. */
const PAID_LINK_PENALTY_MS = 20;

/** Added to a wait, so that the replica seldom refuses, in milliseconds. */
const CATCH_UP_MARGIN_MS = 2;

/** Longest wait for a position while the primary can be asked. */
const MAXIMUM_POSITION_WAIT_MS = 100;

/** Longest wait for news of a term that only the session has seen. */
const MAXIMUM_TERM_WAIT_MS = 300;

/** Time between two looks for news of a term. */
const TERM_WAIT_STEP_MS = 20;

/** Options whose cost differs by less than this are chosen among at random. */
const EQUAL_COST_MS = 1;

/** Expected wait where nothing is known, in milliseconds. */
const UNKNOWN_WAIT_MS = 1_000;

/** One way to serve the read. */
interface ReadOption {
  readonly candidate: ReadCandidate;
  readonly role: InstanceRole;
  readonly minimumPosition: LogPosition;
  /** Time until the instance is expected at the position, in milliseconds. */
  readonly catchUpMs: number;
  /** How long the read is held back before it is sent, in milliseconds. */
  readonly holdMs: number;
  /** Time until the answer, in milliseconds. */
  readonly completionMs: number;
  /** Time until the answer, with surcharges. */
  readonly costMs: number;
}

/**
 * Decides where a read goes.
 *
 * Estimates choose the instance; safety does not rest on them, because the
 * instance itself refuses while it is behind the position that the decision
 * demands. A replica that must first catch up is compared with the primary by
 * expected time.
 *
 * @param freshness - What is known of the group's instances.
 * @param candidates - Instances with a usable connection.
 * @param request - The read.
 * @param nowMs - The monotonic time, in milliseconds.
 * @param random - A number from 0 up to 1 that chooses among equal options.
 */
export function routeRead(
  freshness: GroupFreshness,
  candidates: readonly ReadCandidate[],
  request: ReadRequest,
  nowMs: number,
  random: number,
): ReadDecision {
  if (request.minimumPosition.term > freshness.term) {
    return waitForTerm(request);
  }
  const options = candidates
    .map(candidate => buildOption(freshness, candidate, request, nowMs))
    .filter(option => option !== undefined);
  const inTime = options.filter(
    option => nowMs + option.completionMs <= request.deadlineAtMs,
  );
  const best = chooseOption(inTime, request, random);
  if (best === undefined) return refuse(candidates, options);
  return toDecision(best, request, nowMs);
}

function toDecision(
  option: ReadOption,
  request: ReadRequest,
  nowMs: number,
): ReadDecision {
  if (option.holdMs > 0) {
    return {action: 'wait', waitMs: option.holdMs};
  }
  const {candidate, role, minimumPosition} = option;
  const run = {
    action: 'run',
    instance: candidate.instance,
    role,
    minimumPosition,
  } as const;
  if (role === InstanceRole.Replica) return run;
  return {...run, leaderSinceMs: nowMs - request.allowedAgeMs};
}

/** Chooses the option with the least cost. */
function chooseOption(
  options: readonly ReadOption[],
  request: ReadRequest,
  random: number,
): ReadOption | undefined {
  const hasPrimary = options.some(({role}) => role === InstanceRole.Primary);
  const leftMs = MAXIMUM_POSITION_WAIT_MS - request.waitedMs;
  const usable = hasPrimary
    ? options.filter(({catchUpMs}) => catchUpMs <= Math.max(0, leftMs))
    : options;
  const leastMs = Math.min(...usable.map(({costMs}) => costMs));
  const equal = usable.filter(({costMs}) => costMs < leastMs + EQUAL_COST_MS);
  return equal[Math.floor(random * equal.length)];
}

function buildOption(
  freshness: GroupFreshness,
  candidate: ReadCandidate,
  request: ReadRequest,
  nowMs: number,
): ReadOption | undefined {
  return candidate.instance === freshness.primary
    ? buildPrimaryOption(candidate, request)
    : buildReplicaOption(freshness, candidate, request, nowMs);
}

function buildPrimaryOption(
  candidate: ReadCandidate,
  request: ReadRequest,
): ReadOption {
  const {minimumPosition} = request;
  const finishMs = estimateCompletionMs(candidate);
  const costMs = finishMs + PRIMARY_PENALTY_MS + linkPenaltyMs(candidate);
  const role = InstanceRole.Primary;
  return {
    candidate,
    role,
    minimumPosition,
    catchUpMs: 0,
    holdMs: 0,
    completionMs: finishMs,
    costMs,
  };
}

function buildReplicaOption(
  freshness: GroupFreshness,
  candidate: ReadCandidate,
  request: ReadRequest,
  nowMs: number,
): ReadOption | undefined {
  const observation = freshness.observations.get(candidate.instance);
  if (observation === undefined) return undefined;
  if (!isInTerm(freshness, observation)) return undefined;
  const isLeft = freshness.lags.get(candidate.instance)?.isExcluded === true;
  const allowedMs = request.allowedAgeMs * (isLeft ? READMISSION_FRACTION : 1);
  const forAge = findPositionForAge(freshness, allowedMs, nowMs);
  if (forAge === undefined) return undefined;
  const minimumPosition = laterPosition(forAge, request.minimumPosition);
  const hasReached =
    comparePositions(observation.position, minimumPosition) >= 0;
  if (isLeft && !hasReached) return undefined;
  const expectedInMs = hasReached
    ? -CATCH_UP_MARGIN_MS
    : estimateCatchUpMs(freshness, candidate, minimumPosition, nowMs);
  const catchUpMs = Math.max(0, expectedInMs);
  const holdMs = Math.max(0, expectedInMs + CATCH_UP_MARGIN_MS);
  const finishMs = catchUpMs + estimateCompletionMs(candidate);
  const costMs = finishMs + linkPenaltyMs(candidate);
  const role = InstanceRole.Replica;
  return {
    candidate,
    role,
    minimumPosition,
    catchUpMs,
    holdMs,
    completionMs: finishMs,
    costMs,
  };
}

/**
 * Estimates when a read would have to be sent to find the position at the
 * replica, in milliseconds from now; negative if that time has passed.
 */
function estimateCatchUpMs(
  freshness: GroupFreshness,
  candidate: ReadCandidate,
  position: LogPosition,
  nowMs: number,
): number {
  const lagMs = estimateLagMs(freshness, candidate.instance, nowMs);
  const point = findFirstAtOrAfter(freshness.points, position);
  const writtenAtMs = point?.seenAtMs ?? nowMs;
  const arrivesAtMs = nowMs + candidate.roundTripMs / 2;
  return writtenAtMs + lagMs - arrivesAtMs;
}

/** Waits for news of a term that the session has seen and this proxy has not. */
function waitForTerm(request: ReadRequest): ReadDecision {
  if (request.waitedMs < MAXIMUM_TERM_WAIT_MS) {
    return {action: 'wait', waitMs: TERM_WAIT_STEP_MS};
  }
  const expectedInMs = UNKNOWN_WAIT_MS;
  return {action: 'refuse', reason: 'no-fresh-replica', expectedInMs};
}

function refuse(
  candidates: readonly ReadCandidate[],
  options: readonly ReadOption[],
): RefuseReadDecision {
  if (options.length > 0) {
    const expectedInMs = Math.min(
      ...options.map(({completionMs: finishMs}) => finishMs),
    );
    return {action: 'refuse', reason: 'deadline', expectedInMs};
  }
  const reason = candidates.length > 0 ? 'no-fresh-replica' : 'no-connection';
  return {action: 'refuse', reason, expectedInMs: UNKNOWN_WAIT_MS};
}

function estimateCompletionMs(candidate: ReadCandidate): number {
  return candidate.queueWaitMs + candidate.roundTripMs + candidate.serviceMs;
}

function linkPenaltyMs({distance}: ReadCandidate): number {
  return distance === NetworkDistance.PaidLink ? PAID_LINK_PENALTY_MS : 0;
}

function laterPosition(left: LogPosition, right: LogPosition): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}
