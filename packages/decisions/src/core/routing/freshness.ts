import type {GroupView, LogPosition} from '../groups/index.js';
import {comparePositions, majorityOf} from '../groups/index.js';
import {isInTerm} from './is-in-term.js';
import {findFirstProvenSince} from './freshness-points.js';
import {observeLag} from './replica-lag.js';
import type {
  FreshnessParameters,
  GroupFreshness,
  InstanceObservation,
  FreshnessPoint,
} from './types.js';

/** Maximum number of freshness points stored per group. */
const MAXIMUM_POINTS = 1_024;

/** A point is redundant if its neighbours are within this fraction of its age. */
const POINT_SPACING_FRACTION = 1 / 64;

/** Returns the freshness state of a group before the first observation. */
export function emptyFreshness(view: GroupView): GroupFreshness {
  return {
    term: view.term,
    primary: view.primary,
    observations: new Map(),
    points: [],
    lags: new Map(),
  };
}

/**
 * Updates the term and the primary of the group. A new term discards the points
 * of the old one, because the new primary may lack positions that the old
 * primary reported.
 */
export function observeView(
  freshness: GroupFreshness,
  view: GroupView,
): GroupFreshness {
  if (view.term <= freshness.term) return freshness;
  return {...freshness, term: view.term, primary: view.primary, points: []};
}

/**
 * Records the answer of an instance to a probe.
 *
 * @returns The updated state; unchanged if the observation is older than the
 *   last one of the instance.
 */
export function observeInstance(
  freshness: GroupFreshness,
  observation: InstanceObservation,
  parameters: FreshnessParameters,
): GroupFreshness {
  const previous = freshness.observations.get(observation.instance);
  if (previous !== undefined && previous.sentAtMs > observation.sentAtMs) {
    return freshness;
  }
  const observations = new Map(freshness.observations);
  observations.set(observation.instance, observation);
  const points = addFreshnessPoint({...freshness, observations}, parameters);
  const updated = {...freshness, observations, points};
  return observeLag(updated, previous, observation, parameters);
}

/**
 * Returns the latest time by which no other primary can have acknowledged a
 * write.
 *
 * An instance that reports no higher term had not granted one when the probe was
 * sent. If a majority of the voters reports this, no majority had granted a
 * higher term, so no primary could acknowledge writes in one.
 *
 * @returns The time in milliseconds, or undefined without such a majority.
 */
export function computeLeaderConfirmedAtMs(
  freshness: GroupFreshness,
  parameters: FreshnessParameters,
): number | undefined {
  const {voters, instanceCount} = parameters;
  const sentTimes = [...freshness.observations.values()]
    .filter(({instance}) => voters?.includes(instance) ?? true)
    .filter(({grantedTerm}) => grantedTerm <= freshness.term)
    .map(({sentAtMs}) => sentAtMs)
    .sort((left, right) => right - left);
  return sentTimes[majorityOf(voters?.length ?? instanceCount) - 1];
}

/**
 * Finds the position that an instance must have reached so that its data is
 * provably no older than the allowed age.
 *
 * @returns The position, or undefined if no point is that recent.
 */
export function findPositionForAge(
  freshness: GroupFreshness,
  allowedAgeMs: number,
  nowMs: number,
): LogPosition | undefined {
  const earliestMs = nowMs - allowedAgeMs;
  return findFirstProvenSince(freshness.points, earliestMs)?.position;
}

/**
 * Computes an upper bound of the age of the data at a position.
 *
 * @returns The bound in milliseconds; infinity if no point proves one.
 */
export function computeAgeBoundMs(
  freshness: GroupFreshness,
  position: LogPosition,
  nowMs: number,
): number {
  const point = freshness.points.findLast(
    candidate => comparePositions(candidate.position, position) <= 0,
  );
  return point === undefined ? Infinity : nowMs - point.provenAtMs;
}

/** Adds the point that the latest observation of the primary proves. */
function addFreshnessPoint(
  freshness: GroupFreshness,
  parameters: FreshnessParameters,
): readonly FreshnessPoint[] {
  const {points, observations, primary} = freshness;
  const primaryObservation = observations.get(primary);
  if (
    primaryObservation === undefined ||
    !isInTerm(freshness, primaryObservation)
  )
    return points;
  const leaderConfirmedAtMs = computeLeaderConfirmedAtMs(freshness, parameters);
  if (leaderConfirmedAtMs === undefined) return points;
  const provenAtMs = Math.min(primaryObservation.sentAtMs, leaderConfirmedAtMs);
  const last = points.at(-1);
  if (last !== undefined && provenAtMs <= last.provenAtMs) return points;
  return appendPoint(points, primaryObservation, provenAtMs);
}

function appendPoint(
  points: readonly FreshnessPoint[],
  primaryObservation: InstanceObservation,
  provenAtMs: number,
): readonly FreshnessPoint[] {
  const {position, answeredAtMs} = primaryObservation;
  const last = points.at(-1);
  const isSamePosition =
    last !== undefined && comparePositions(last.position, position) === 0;
  if (isSamePosition) {
    return [...points.slice(0, -1), {...last, provenAtMs}];
  }
  const point = {position, provenAtMs, seenAtMs: answeredAtMs};
  return thinPoints([...points, point], provenAtMs);
}

/**
 * Drops points that are close together relative to their age. A dropped point
 * only increases the computed age bound.
 */
function thinPoints(
  points: FreshnessPoint[],
  nowMs: number,
): readonly FreshnessPoint[] {
  if (points.length <= MAXIMUM_POINTS) return points;
  const kept: FreshnessPoint[] = [];
  points.forEach((point, index) => {
    const previousProvenAtMs = kept.at(-1)?.provenAtMs ?? -Infinity;
    const next = points[index + 1];
    const ageMs = nowMs - point.provenAtMs;
    const isRedundant =
      next !== undefined &&
      next.provenAtMs - previousProvenAtMs < ageMs * POINT_SPACING_FRACTION;
    if (!isRedundant) kept.push(point);
  });
  return kept.slice(-MAXIMUM_POINTS);
}
