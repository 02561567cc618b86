/** How waits between attempts grow. */
export interface BackoffPolicy {
  /** Upper bound of the first wait, in milliseconds; doubles each time. */
  readonly initialMs: number;
  /** Longest upper bound, in milliseconds. */
  readonly maximumMs: number;
}

/** Share of the upper bound that every wait lasts at least. */
const MINIMUM_FRACTION = 0.5;

/**
 * Says how long to wait before the next attempt.
 *
 * Source: Brooker, "Exponential Backoff and Jitter", 2015, the variant with
 * equal jitter.
 *
 * @param policy - How waits grow.
 * @param failures - Failed attempts so far, at least 1.
 * @param random - A random number from 0 up to 1, passed in by the caller.
 * @returns The wait, in milliseconds.
 */
export function computeBackoffMs(
  policy: BackoffPolicy,
  failures: number,
  random: number,
): number {
  const doubled = policy.initialMs * 2 ** Math.max(0, failures - 1);
  const bound = Math.min(policy.maximumMs, doubled);
  return bound * (MINIMUM_FRACTION + (1 - MINIMUM_FRACTION) * random);
}
