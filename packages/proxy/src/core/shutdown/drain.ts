import {setTimeout as sleep} from 'node:timers/promises';

/**
 * Time without work after which draining is complete, in milliseconds. A
 * balancer that checks readiness more often than this has stopped sending
 * requests by then, and so have the proxies that were notified of the stop.
 */
const QUIET_PERIOD_MS = 500;

/** Interval between checks of the work in progress, in milliseconds. */
const COUNT_INTERVAL_MS = 20;

/** Work that must complete before a stop. */
export interface DrainableWork {
  /** Returns the number of requests and transactions in progress. */
  size(): number;
  /** Returns the monotonic time of the last arrival, in milliseconds. */
  lastArrivalAtMs(): number;
}

/**
 * Waits until no work has been in progress for {@link QUIET_PERIOD_MS}, or
 * until the deadline.
 *
 * @param work - The work in progress.
 * @param deadlineMs - Longest wait, in milliseconds.
 * @returns The number of requests and transactions still in progress.
 */
export async function waitUntilDrained(
  work: DrainableWork,
  deadlineMs: number,
): Promise<number> {
  const startedAtMs = performance.now();
  const endAtMs = startedAtMs + deadlineMs;
  let lastBusyAtMs = startedAtMs;
  while (performance.now() < endAtMs) {
    const now = performance.now();
    if (work.size() > 0) lastBusyAtMs = now;
    const quietSinceMs = Math.max(lastBusyAtMs, work.lastArrivalAtMs());
    if (now - quietSinceMs >= QUIET_PERIOD_MS) return 0;
    await sleep(COUNT_INTERVAL_MS);
  }
  return work.size();
}
