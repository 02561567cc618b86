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

/** Most proven points that are kept of a group. */
const MAXIMUM_POINTS = 1_024;

/** A point may be dropped if its neighbours are this part of its age apart. */
const POINT_SPACING_FRACTION = 1 / 64;

/** What is known of a group before the first observation. */
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
 * Takes in who leads the group. A new term voids what was proven in the old
 * one, since the new primary may lack positions that the old one showed.
 */
export function observeView(
  freshness: GroupFreshness,
  view: GroupView,
): GroupFreshness {
  if (view.term <= freshness.term) return freshness;
  return {...freshness, term: view.term, primary: view.primary, points: []};
}

/**
 * Takes in what an instance showed to a probe.
 *
 * @returns What is known afterwards; unchanged if the observation is older
 *   than the last one of the instance.
 */
export function observeInstance(
  freshness: GroupFreshness,
  observation: InstanceObservation,
  rules: FreshnessParameters,
): GroupFreshness {
  const known = freshness.observations.get(observation.instance);
  if (known !== undefined && known.sentAtMs > observation.sentAtMs) {
    return freshness;
  }
  const observations = new Map(freshness.observations);
  observations.set(observation.instance, observation);
  const points = addFreshnessPoint({...freshness, observations}, rules);
  const updated = {...freshness, observations, points};
  return observeLag(updated, known, observation, rules);
}

/**
 * Says since when it is proven that no other primary has acknowledged a write.
 *
 * An instance whose probe was sent at a time and showed no higher term had not
 * granted one by then. Where a majority showed this, no majority had granted a
 * higher term, so nobody could acknowledge writes in one.
 *
 * @returns The time in milliseconds, or undefined without such a majority.
 */
export function computeLeaderConfirmedAtMs(
  freshness: GroupFreshness,
  rules: FreshnessParameters,
): number | undefined {
  const sentTimes = [...freshness.observations.values()]
    .filter(({grantedTerm}) => grantedTerm <= freshness.term)
    .map(({sentAtMs}) => sentAtMs)
    .sort((left, right) => right - left);
  return sentTimes[majorityOf(rules.instanceCount) - 1];
}

/**
 * Finds the position that an instance must have reached for its data to be
 * provably no older than allowed.
 *
 * @returns The position, or undefined if nothing that recent is proven.
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
 * Bounds the age of what an instance at a position holds.
 *
 * @returns The bound in milliseconds; infinity if nothing is proven.
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

/** Adds what the primary's latest observation proves. */
function addFreshnessPoint(
  freshness: GroupFreshness,
  rules: FreshnessParameters,
): readonly FreshnessPoint[] {
  const {points, observations, primary} = freshness;
  const leader = observations.get(primary);
  if (leader === undefined || !isInTerm(freshness, leader)) return points;
  const majorityAt = computeLeaderConfirmedAtMs(freshness, rules);
  if (majorityAt === undefined) return points;
  const provenAtMs = Math.min(leader.sentAtMs, majorityAt);
  const last = points.at(-1);
  if (last !== undefined && provenAtMs <= last.provenAtMs) return points;
  return appendPoint(points, leader, provenAtMs);
}

function appendPoint(
  points: readonly FreshnessPoint[],
  leader: InstanceObservation,
  provenAtMs: number,
): readonly FreshnessPoint[] {
  const {position, answeredAtMs} = leader;
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
 * Drops points that stand close together for their age. A missing point only
 * makes a provable age longer.
 */
function thinPoints(
  points: FreshnessPoint[],
  nowMs: number,
): readonly FreshnessPoint[] {
  if (points.length <= MAXIMUM_POINTS) return points;
  const kept: FreshnessPoint[] = [];
  points.forEach((point, index) => {
    const previousMs = kept.at(-1)?.provenAtMs ?? -Infinity;
    const next = points[index + 1];
    const ageMs = nowMs - point.provenAtMs;
    const isClose =
      next !== undefined &&
      next.provenAtMs - previousMs < ageMs * POINT_SPACING_FRACTION;
    if (!isClose) kept.push(point);
  });
  return kept.slice(-MAXIMUM_POINTS);
}
