import type {FailoverPolicy} from './types.js';

/** Shortest wait for any answer of an instance, in milliseconds. */
const ANSWER_TIMEOUT_FLOOR_MS = 400;

/** Longest wait for any answer of an instance, in milliseconds. */
const ANSWER_TIMEOUT_CEILING_MS = 1_500;

/** Round trips that an answer may take beyond the usual one. */
const ROUND_TRIP_FACTOR = 6;

/** Weight of a new sample in the smoothed round trip. */
const ROUND_TRIP_WEIGHT = 1 / 8;

/** Weight of a new sample in the deviation. */
const DEVIATION_WEIGHT = 1 / 4;

/** Deviations that an answer may take beyond the usual round trip. */
const DEVIATION_FACTOR = 4;

/** The round trips to one instance. */
export interface RoundTripEstimate {
  /** Smoothed round trip, in milliseconds. */
  readonly smoothedMs: number;
  /** Smoothed deviation, in milliseconds. */
  readonly deviationMs: number;
}

/**
 * Takes a round trip into the estimate.
 *
 * Source: RFC 6298, section 2.
 *
 * @param estimate - The estimate so far, if any.
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
 * Says how long an instance may take to answer before it counts as silent.
 *
 * The floor keeps ten times the usual latency from looking like silence.
 *
 * @param estimate - The round trips so far, if any.
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

/** Time-outs for zones within a few tens of milliseconds of each other. */
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
