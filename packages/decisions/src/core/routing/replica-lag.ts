import {comparePositions} from '../groups/index.js';
import {isInTerm} from './is-in-term.js';
import {findFirstAfter, findFirstAtOrAfter} from './freshness-points.js';
import type {
  FreshnessParameters,
  GroupFreshness,
  InstanceObservation,
  ReplicaLag,
} from './types.js';

/** Weight of a new sample in the exponentially smoothed lag. */
const SAMPLE_WEIGHT = 0.2;

/** Minimum lag that excludes a replica, even if the allowed age is smaller. */
const MINIMUM_EXCLUSION_LAG_MS = 100;

/**
 * An excluded replica is readmitted below this fraction of the lag at which it is
 * excluded.
 */
export const READMISSION_FRACTION = 0.95;

/** How long an excluded replica must keep up before it receives reads again. */
const READMISSION_DELAY_MS = 2_000;

const UNKNOWN_LAG: ReplicaLag = {
  smoothedMs: undefined,
  isExcluded: false,
  caughtUpSinceMs: undefined,
};

/**
 * Estimates how far a replica currently is behind the primary.
 *
 * @returns The smoothed lag, or the age of the oldest entry known to be
 *   missing on the replica if that is longer, in milliseconds.
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
 * Updates the lag of a replica from two successive observations.
 *
 * @param previous - The observation before this one, if any.
 */
export function observeLag(
  freshness: GroupFreshness,
  previous: InstanceObservation | undefined,
  observation: InstanceObservation,
  parameters: FreshnessParameters,
): GroupFreshness {
  const {instance, answeredAtMs} = observation;
  if (instance === freshness.primary) return freshness;
  if (!isInTerm(freshness, observation)) return freshness;
  const lag = freshness.lags.get(instance) ?? UNKNOWN_LAG;
  const sampleMs = measureLagMs(freshness, previous, observation);
  const smoothed = {...lag, smoothedMs: smooth(lag.smoothedMs, sampleMs)};
  const sampled = withLag(freshness, instance, smoothed);
  const lagMs = estimateLagMs(sampled, instance, answeredAtMs);
  const updated = updateExclusion(smoothed, lagMs, parameters, answeredAtMs);
  return withLag(sampled, instance, updated);
}

/** Excludes a replica that lags too far, or readmits one that keeps up again. */
function updateExclusion(
  lag: ReplicaLag,
  lagMs: number,
  parameters: FreshnessParameters,
  nowMs: number,
): ReplicaLag {
  const exclusionLagMs = Math.max(
    parameters.allowedAgeMs,
    MINIMUM_EXCLUSION_LAG_MS,
  );
  if (lagMs > exclusionLagMs) {
    return {...lag, isExcluded: true, caughtUpSinceMs: undefined};
  }
  if (!lag.isExcluded) return lag;
  if (lagMs > exclusionLagMs * READMISSION_FRACTION) {
    return {...lag, caughtUpSinceMs: undefined};
  }
  const caughtUpSinceMs = lag.caughtUpSinceMs ?? nowMs;
  const hasRecovered = nowMs - caughtUpSinceMs >= READMISSION_DELAY_MS;
  return {...lag, isExcluded: !hasRecovered, caughtUpSinceMs};
}

/** Measures how long the newest entry of a replica took to arrive there. */
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
