import type {FailoverPolicy} from './types.js';

/** Shortest answer time-out of an instance, in milliseconds. */
const ANSWER_TIMEOUT_FLOOR_MS = 400;

/** Longest answer time-out of an instance, in milliseconds. */
const ANSWER_TIMEOUT_CEILING_MS = 1_500;

/** Smoothed round trips that an answer may take. */
const ROUND_TRIP_FACTOR = 6;

/** Weight of a new sample in the smoothed round trip. */
const ROUND_TRIP_WEIGHT = 1 / 8;

/** Weight of a new sample in the deviation. */
const DEVIATION_WEIGHT = 1 / 4;

/** Smoothed deviations that an answer may take in addition. */
const DEVIATION_FACTOR = 4;

/** Estimate of the round trip to one instance. */
export interface RoundTripEstimate {
  /** Smoothed round trip, in milliseconds. */
  readonly smoothedMs: number;
  /** Smoothed deviation, in milliseconds. */
  readonly deviationMs: number;
}

/**
 * Updates the estimate with a measured round trip.
 *
 * Source: RFC 6298, section 2.
 *
 * @param estimate - The previous estimate, if any.
 * @param sampleMs - The round trip, in milliseconds.
 */
export function observeRoundTrip(
  estimate: RoundTripEstimate | undefined,
  sampleMs: number,
): RoundTripEstimate {
  if (estimate === undefined) {
    return {smoothedMs: sampleMs, deviationMs: sampleMs / 2};
  }
  const error = sampleMs - estimate.smoothedMs;
  const spread = Math.abs(error) - estimate.deviationMs;
  return {
    smoothedMs: estimate.smoothedMs + ROUND_TRIP_WEIGHT * error,
    deviationMs: estimate.deviationMs + DEVIATION_WEIGHT * spread,
  };
}

/**
 * Returns how long an instance may take to answer before it counts as
 * unresponsive.
 *
 * The floor keeps an answer at ten times the usual latency from counting as a
 * time-out.
 *
 * @param estimate - The estimate of the round trip, if any.
 * @returns The time-out, in milliseconds.
 */
export function answerTimeoutMs(
  estimate: RoundTripEstimate | undefined,
): number {
  if (estimate === undefined) return ANSWER_TIMEOUT_CEILING_MS;
  const usualMs =
    ROUND_TRIP_FACTOR * estimate.smoothedMs +
    DEVIATION_FACTOR * estimate.deviationMs;
  return Math.min(
    ANSWER_TIMEOUT_CEILING_MS,
    Math.max(ANSWER_TIMEOUT_FLOOR_MS, usualMs),
  );
}

/** Time-outs for zones that are a few tens of milliseconds apart. */
export const DEFAULT_FAILOVER_POLICY: FailoverPolicy = {
  reportValidityMs: 1_000,
  reportIntervalMs: 200,
  steppedDownGraceMs: 100,
  rankDelayMs: 300,
  rankStaggerMs: 40,
  plannedRankDelayMs: 2_000,
  otherAttemptTimeoutMs: 600,
  grantTimeoutMs: 600,
  grantSettleMs: 50,
  promotionTimeoutMs: 600,
  retryBackoffMs: 200,
  maximumBackoffMs: 2_000,
  followIntervalMs: 500,
  drainTimeoutMs: 3_000,
  catchUpTimeoutMs: 3_000,
  catchUpProbeIntervalMs: 20,
  higherTermGraceMs: 1_500,
};
