/** Maximum fraction by which an interval is shortened or lengthened. */
const JITTER_FRACTION = 0.2;

/**
 * Returns an interval with random jitter, so that processes do not act in step.
 *
 * @param intervalMs - The interval, in milliseconds.
 */
export function withJitter(intervalMs: number): number {
  return (
    intervalMs * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * Math.random())
  );
}
