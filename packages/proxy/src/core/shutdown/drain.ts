import {setTimeout as sleep} from 'node:timers/promises';

/**
 * Time without work after which nothing more is expected, in milliseconds. A
 * balancer that asks for readiness more often sends nothing new by then, nor
 * does a proxy that was told of the stop.
 */
const QUIET_PERIOD_MS = 500;

/** How often the work in progress is counted, in milliseconds. */
const COUNT_INTERVAL_MS = 20;

/** The work that a stop waits for. */
export interface DrainableWork {
  /** How many requests and transactions are in progress. */
  size(): number;
  /** Monotonic time at which the last request arrived, in milliseconds. */
  lastArrivalAtMs(): number;
}

/**
 * Waits until there is no work in progress for a while, or time is up.
 *
 * @param work - The work in progress.
 * @param deadlineMs - How long to wait at most, in milliseconds.
 * @returns How much work was cut off by the deadline.
 */
export async function waitUntilDrained(
  work: DrainableWork,
  deadlineMs: number,
): Promise<number> {
  const beganAtMs = performance.now();
  const endAtMs = beganAtMs + deadlineMs;
  let busyAtMs = beganAtMs;
  while (performance.now() < endAtMs) {
    const now = performance.now();
    if (work.size() > 0) busyAtMs = now;
    const quietSinceMs = Math.max(busyAtMs, work.lastArrivalAtMs());
    if (now - quietSinceMs >= QUIET_PERIOD_MS) return 0;
    await sleep(COUNT_INTERVAL_MS);
  }
  return work.size();
}
