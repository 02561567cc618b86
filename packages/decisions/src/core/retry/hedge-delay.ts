/** A read is hedged when it takes longer than this many usual ones. */
const HEDGE_FACTOR = 4;

/** Shortest time after which a read is hedged, in milliseconds. */
const MINIMUM_HEDGE_MS = 20;

/**
 * Says after which time a read without answer is sent to a second instance.
 *
 * Source: Dean and Barroso, "The tail at scale", 2013.
 *
 * @param usualMs - Smoothed time to an answer, in milliseconds.
 * @param leftMs - Time until the deadline, in milliseconds.
 * @returns The time in milliseconds, or undefined if a hedge would be useless.
 */
export function computeHedgeDelayMs(
  usualMs: number,
  leftMs: number,
): number | undefined {
  const delayMs = Math.max(MINIMUM_HEDGE_MS, usualMs * HEDGE_FACTOR);
  return delayMs + usualMs < leftMs ? delayMs : undefined;
}
