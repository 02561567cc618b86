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

/** Added to the cost of the primary to prefer replicas, in milliseconds. */
const PRIMARY_PENALTY_MS = 10;

/** Added to the cost of an instance behind a paid link, in milliseconds. */
const PAID_LINK_PENALTY_MS = 20;

/** Added to the catch-up wait so that replicas rarely refuse, in milliseconds. */
const CATCH_UP_MARGIN_MS = 2;

/** Longest wait for a replica to catch up while the primary is available. */
const MAXIMUM_POSITION_WAIT_MS = 100;

/** Longest wait for a term that is in the session but not yet observed here. */
const MAXIMUM_TERM_WAIT_MS = 300;

/** Interval between two checks for a newer term. */
const TERM_WAIT_STEP_MS = 20;

/** Options within this cost of the cheapest are chosen among at random. */
const EQUAL_COST_MS = 1;

/** Expected wait if no estimate exists, in milliseconds. */
const UNKNOWN_WAIT_MS = 1_000;

/** One instance that can serve the read, with its expected cost. */
interface ReadOption {
  readonly candidate: ReadCandidate;
  readonly role: InstanceRole;
  readonly minimumPosition: LogPosition;
  /** Time until the instance is expected to reach the position, in milliseconds. */
  readonly catchUpMs: number;
  /** How long the read is delayed before it is sent, in milliseconds. */
  readonly holdMs: number;
  /** Expected time until the answer, in milliseconds. */
  readonly completionMs: number;
  /** Expected time until the answer plus penalties, in milliseconds. */
  readonly costMs: number;
}

/**
 * Chooses the instance that serves a read.
 *
 * The choice uses estimates, but correctness does not depend on them: the
 * instance refuses the read while it is behind the minimum position of the
 * decision. A replica that must catch up first is compared with the primary by
 * expected completion time.
 *
 * @param freshness - Latest observations of the group's instances.
 * @param candidates - Instances with a usable connection.
 * @param request - The read.
 * @param nowMs - The monotonic time, in milliseconds.
 * @param random - A random number in [0, 1) that chooses among cheapest options.
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

/** Chooses the cheapest option, at random among options of nearly equal cost. */
function chooseOption(
  options: readonly ReadOption[],
  request: ReadRequest,
  random: number,
): ReadOption | undefined {
  const hasPrimary = options.some(({role}) => role === InstanceRole.Primary);
  const remainingWaitMs = MAXIMUM_POSITION_WAIT_MS - request.waitedMs;
  const usable = hasPrimary
    ? options.filter(({catchUpMs}) => catchUpMs <= Math.max(0, remainingWaitMs))
    : options;
  const lowestCostMs = Math.min(...usable.map(({costMs}) => costMs));
  const cheapest = usable.filter(
    ({costMs}) => costMs < lowestCostMs + EQUAL_COST_MS,
  );
  return cheapest[Math.floor(random * cheapest.length)];
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
  const completionMs = estimateCompletionMs(candidate);
  const costMs = completionMs + PRIMARY_PENALTY_MS + linkPenaltyMs(candidate);
  const role = InstanceRole.Primary;
  return {
    candidate,
    role,
    minimumPosition,
    catchUpMs: 0,
    holdMs: 0,
    completionMs,
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
  const isExcluded =
    freshness.lags.get(candidate.instance)?.isExcluded === true;
  const allowedMs =
    request.allowedAgeMs * (isExcluded ? READMISSION_FRACTION : 1);
  const positionForAge = findPositionForAge(freshness, allowedMs, nowMs);
  if (positionForAge === undefined) return undefined;
  const minimumPosition = laterPosition(
    positionForAge,
    request.minimumPosition,
  );
  const hasReachedPosition =
    comparePositions(observation.position, minimumPosition) >= 0;
  if (isExcluded && !hasReachedPosition) return undefined;
  const expectedInMs = hasReachedPosition
    ? -CATCH_UP_MARGIN_MS
    : estimateCatchUpMs(freshness, candidate, minimumPosition, nowMs);
  const catchUpMs = Math.max(0, expectedInMs);
  const holdMs = Math.max(0, expectedInMs + CATCH_UP_MARGIN_MS);
  const completionMs = catchUpMs + estimateCompletionMs(candidate);
  const costMs = completionMs + linkPenaltyMs(candidate);
  const role = InstanceRole.Replica;
  return {
    candidate,
    role,
    minimumPosition,
    catchUpMs,
    holdMs,
    completionMs,
    costMs,
  };
}

/**
 * Estimates the delay after which a read must be sent so that it arrives when the
 * replica has reached the position, in milliseconds; negative if a read sent now
 * arrives later than that.
 */
function estimateCatchUpMs(
  freshness: GroupFreshness,
  candidate: ReadCandidate,
  position: LogPosition,
  nowMs: number,
): number {
  const lagMs = estimateLagMs(freshness, candidate.instance, nowMs);
  const point = findFirstAtOrAfter(freshness.points, position);
  const appendedAtMs = point?.seenAtMs ?? nowMs;
  const arrivesAtMs = nowMs + candidate.roundTripMs / 2;
  return appendedAtMs + lagMs - arrivesAtMs;
}

/** Waits for a term that is in the session but not yet observed by this proxy. */
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
      ...options.map(({completionMs}) => completionMs),
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
