import type {ExecutionTiming} from './types.js';

/** Fewest statements in flight. */
const MINIMUM_LIMIT = 1;

/** Statements in flight before anything was learned. */
const INITIAL_LIMIT = 2;

/** Waits for a slot up to this long do not count, in milliseconds. */
const TOLERATED_WAIT_MS = 1;

/** Waits up to this part of the time that statements run do not count. */
const TOLERATED_WAIT_FRACTION = 0.5;

/** Factor by which the limit shrinks when statements wait at the instance. */
const DECREASE_FACTOR = 0.9;

/** Weight of a new sample in the smoothed duration. */
const SAMPLE_WEIGHT = 0.1;

/** Duration before the first sample, in milliseconds. */
const INITIAL_DURATION_MS = 5;

/**
 * How many statements one owner keeps in flight at one instance.
 *
 * Several owners share the slots without talking to each other. Each takes the
 * time that its statements waited for a slot as the sign of too many, and adds
 * slowly and takes away quickly, so that their sum settles at the slots.
 *
 * Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for
 * congestion avoidance in computer networks", 1989.
 */
export class ConcurrencyLimit {
  private current = INITIAL_LIMIT;
  private smoothedMs = INITIAL_DURATION_MS;

  /** @param maximum - Most statements in flight: connections for them. */
  constructor(private maximum: number) {
    this.setMaximum(maximum);
  }

  /** How many statements may be in flight, at least one. */
  get value(): number {
    return Math.max(MINIMUM_LIMIT, Math.floor(this.current));
  }

  /** Smoothed time from sending to the answer, in milliseconds. */
  get durationMs(): number {
    return this.smoothedMs;
  }

  /** Changes how many connections there are for statements. */
  setMaximum(maximum: number): void {
    this.maximum = Math.max(MINIMUM_LIMIT, maximum);
    this.current = Math.min(this.current, this.maximum);
  }

  /**
   * Learns from an answer.
   *
   * @param isFull - Whether the limit was reached while it ran.
   */
  recordCompletion(work: ExecutionTiming, isFull: boolean): void {
    this.smoothedMs += SAMPLE_WEIGHT * (work.durationMs - this.smoothedMs);
    if (work.waitedMs === undefined) return;
    const ranMs = Math.max(0, work.durationMs - work.waitedMs);
    const toleratedMs = Math.max(
      TOLERATED_WAIT_MS,
      ranMs * TOLERATED_WAIT_FRACTION,
    );
    if (work.waitedMs > toleratedMs) {
      this.current = Math.max(MINIMUM_LIMIT, this.current * DECREASE_FACTOR);
      return;
    }
    if (!isFull) return;
    this.current = Math.min(this.maximum, this.current + 1 / this.current);
  }
}
