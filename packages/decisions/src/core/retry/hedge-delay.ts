/** A read is hedged when it takes this many times its usual duration. */
const HEDGE_FACTOR = 4;

/** Minimum delay before a read is hedged, in milliseconds. */
const MINIMUM_HEDGE_MS = 20;

/**
 * Computes the delay after which a read without an answer is sent to a second
 * instance.
 *
 * Source: Dean and Barroso, "The tail at scale", 2013.
 *
 * @param usualMs - Smoothed response time, in milliseconds.
 * @param remainingMs - Time until the deadline, in milliseconds.
 * @returns The delay in milliseconds, or undefined if a hedge could not be answered
 *   before the deadline.
 */
export function computeHedgeDelayMs(
  usualMs: number,
  remainingMs: number,
): number | undefined {
  const delayMs = Math.max(MINIMUM_HEDGE_MS, usualMs * HEDGE_FACTOR);
  return delayMs + usualMs < remainingMs ? delayMs : undefined;
}
