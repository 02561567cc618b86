/** Share by which an interval may be shorter or longer. */
const JITTER_FRACTION = 0.2;

/**
 * Spreads an interval, so that processes do not act in step.
 *
 * @param intervalMs - The interval, in milliseconds.
 */
export function withJitter(intervalMs: number): number {
  return (
    intervalMs * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * Math.random())
  );
}
