import type {ExecutionTiming} from './types.js';

/** Minimum number of statements in flight. */
const MINIMUM_LIMIT = 1;

/** Initial number of statements in flight. */
const INITIAL_LIMIT = 2;

/** Waits for a slot up to this duration are tolerated, in milliseconds. */
const TOLERATED_WAIT_MS = 1;

/** Waits up to this fraction of the execution time are tolerated. */
const TOLERATED_WAIT_FRACTION = 0.5;

/** Factor applied to the limit when statements wait at the instance. */
const DECREASE_FACTOR = 0.9;

/** Weight of a new sample in the smoothed duration. */
const SAMPLE_WEIGHT = 0.1;

/** Duration before the first sample, in milliseconds. */
const INITIAL_DURATION_MS = 5;

/**
 * Adaptive limit of the statements that one owner has in flight at one instance.
 *
 * Several owners share the slots of the instance without communicating. Each one
 * uses the time that its statements waited for a slot as the congestion signal,
 * with additive increase and multiplicative decrease, so that the sum of the
 * limits converges to the number of slots.
 *
 * Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for
 * congestion avoidance in computer networks", 1989.
 */
export class ConcurrencyLimit {
  private current = INITIAL_LIMIT;
  private smoothedMs = INITIAL_DURATION_MS;

  /** @param maximum - Upper bound of the limit: the connections for statements. */
  constructor(private maximum: number) {
    this.setMaximum(maximum);
  }

  /** Maximum number of statements in flight, at least one. */
  get value(): number {
    return Math.max(MINIMUM_LIMIT, Math.floor(this.current));
  }

  /** Smoothed time from sending to the answer, in milliseconds. */
  get durationMs(): number {
    return this.smoothedMs;
  }

  /** Sets the number of connections available for statements. */
  setMaximum(maximum: number): void {
    this.maximum = Math.max(MINIMUM_LIMIT, maximum);
    this.current = Math.min(this.current, this.maximum);
  }

  /**
   * Adjusts the limit after an answer.
   *
   * @param isFull - Whether the limit was reached during the execution.
   */
  recordCompletion(timing: ExecutionTiming, isFull: boolean): void {
    this.smoothedMs += SAMPLE_WEIGHT * (timing.durationMs - this.smoothedMs);
    if (timing.waitedMs === undefined) return;
    const executionMs = Math.max(0, timing.durationMs - timing.waitedMs);
    const toleratedMs = Math.max(
      TOLERATED_WAIT_MS,
      executionMs * TOLERATED_WAIT_FRACTION,
    );
    if (timing.waitedMs > toleratedMs) {
      this.current = Math.max(MINIMUM_LIMIT, this.current * DECREASE_FACTOR);
      return;
    }
    if (!isFull) return;
    this.current = Math.min(this.maximum, this.current + 1 / this.current);
  }
}
