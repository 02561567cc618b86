/** Parameters of an exponential backoff. */
export interface BackoffPolicy {
  /** Upper bound of the first delay, in milliseconds; doubles with each failure. */
  readonly initialMs: number;
  /** Maximum of the upper bound, in milliseconds. */
  readonly maximumMs: number;
}

/** Minimum delay as a fraction of the upper bound. */
const MINIMUM_FRACTION = 0.5;

/**
 * Computes the delay before the next attempt.
 *
 * Source: Brooker, "Exponential Backoff and Jitter", 2015, the variant with
 * equal jitter.
 *
 * @param policy - Parameters of the backoff.
 * @param failures - Number of failed attempts so far, at least 1.
 * @param random - A random number in [0, 1).
 * @returns The delay, in milliseconds.
 */
export function computeBackoffMs(
  policy: BackoffPolicy,
  failures: number,
  random: number,
): number {
  const exponentialMs = policy.initialMs * 2 ** Math.max(0, failures - 1);
  const upperBoundMs = Math.min(policy.maximumMs, exponentialMs);
  return upperBoundMs * (MINIMUM_FRACTION + (1 - MINIMUM_FRACTION) * random);
}
