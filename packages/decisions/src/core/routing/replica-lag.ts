import {comparePositions} from '../groups/index.js';
import {isInTerm} from './is-in-term.js';
import {findFirstAfter, findFirstAtOrAfter} from './freshness-points.js';
import type {
  FreshnessParameters,
  GroupFreshness,
  InstanceObservation,
  ReplicaLag,
} from './types.js';

/** Weight of a new sample in the smoothed lag. */
const SAMPLE_WEIGHT = 0.2;

/** Replicas are left at this lag even where reads may be fresher. */
const MINIMUM_EXCLUSION_LAG_MS = 100;

/** A replica that was left returns below this part of the lag at leaving. */
export const READMISSION_FRACTION = 0.95;

/** How long a replica must have kept up before reads return to it. */
const READMISSION_DELAY_MS = 2_000;

const UNKNOWN_LAG: ReplicaLag = {
  smoothedMs: undefined,
  isExcluded: false,
  caughtUpSinceMs: undefined,
};

/**
 * Estimates how far a replica is behind the primary now.
 *
 * @returns The smoothed lag, or the age of the oldest entry known to be
 *   missing if that is longer, in milliseconds.
 */
export function estimateLagMs(
  freshness: GroupFreshness,
  instance: string,
  nowMs: number,
): number {
  const smoothedMs = freshness.lags.get(instance)?.smoothedMs ?? 0;
  const observation = freshness.observations.get(instance);
  if (observation === undefined) return Infinity;
  const missing = findFirstAfter(freshness.points, observation.position);
  if (missing === undefined) return smoothedMs;
  return Math.max(smoothedMs, nowMs - missing.seenAtMs);
}

/**
 * Takes the progress of a replica between two observations in.
 *
 * @param previous - The observation before this one, if any.
 */
export function observeLag(
  freshness: GroupFreshness,
  previous: InstanceObservation | undefined,
  observation: InstanceObservation,
  rules: FreshnessParameters,
): GroupFreshness {
  const {instance, answeredAtMs} = observation;
  if (instance === freshness.primary) return freshness;
  if (!isInTerm(freshness, observation)) return freshness;
  const known = freshness.lags.get(instance) ?? UNKNOWN_LAG;
  const sampleMs = measureLagMs(freshness, previous, observation);
  const smoothed = {...known, smoothedMs: smooth(known.smoothedMs, sampleMs)};
  const sampled = withLag(freshness, instance, smoothed);
  const lagMs = estimateLagMs(sampled, instance, answeredAtMs);
  const judged = updateExclusion(smoothed, lagMs, rules, answeredAtMs);
  return withLag(sampled, instance, judged);
}

/** Decides whether reads leave a replica or return to it. */
function updateExclusion(
  lag: ReplicaLag,
  lagMs: number,
  rules: FreshnessParameters,
  nowMs: number,
): ReplicaLag {
  const leaveAboveMs = Math.max(rules.allowedAgeMs, MINIMUM_EXCLUSION_LAG_MS);
  if (lagMs > leaveAboveMs) {
    return {...lag, isExcluded: true, caughtUpSinceMs: undefined};
  }
  if (!lag.isExcluded) return lag;
  if (lagMs > leaveAboveMs * READMISSION_FRACTION) {
    return {...lag, caughtUpSinceMs: undefined};
  }
  const keepsUpSinceMs = lag.caughtUpSinceMs ?? nowMs;
  const hasRecovered = nowMs - keepsUpSinceMs >= READMISSION_DELAY_MS;
  return {...lag, isExcluded: !hasRecovered, caughtUpSinceMs: keepsUpSinceMs};
}

/** Measures how long the newest entry of a replica took to reach it. */
function measureLagMs(
  freshness: GroupFreshness,
  previous: InstanceObservation | undefined,
  observation: InstanceObservation,
): number | undefined {
  if (previous === undefined) return undefined;
  const {position, answeredAtMs} = observation;
  if (comparePositions(position, previous.position) <= 0) return undefined;
  const point = findFirstAtOrAfter(freshness.points, position);
  if (point === undefined) return 0;
  return Math.max(0, answeredAtMs - point.seenAtMs);
}

function smooth(
  smoothedMs: number | undefined,
  sampleMs: number | undefined,
): number | undefined {
  if (sampleMs === undefined) return smoothedMs;
  if (smoothedMs === undefined) return sampleMs;
  return smoothedMs + SAMPLE_WEIGHT * (sampleMs - smoothedMs);
}

function withLag(
  freshness: GroupFreshness,
  instance: string,
  lag: ReplicaLag,
): GroupFreshness {
  const lags = new Map(freshness.lags);
  lags.set(instance, lag);
  return {...freshness, lags};
}
