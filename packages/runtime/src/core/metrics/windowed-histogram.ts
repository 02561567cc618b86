import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

/** Histograms record microseconds, to keep fractions of a millisecond. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Longest recorded duration: one hour, in microseconds; longer ones are
 * recorded as this.
 */
const MAXIMUM_MICROSECONDS = 3_600_000_000;

/** Length of a window, in milliseconds; quantiles cover one to two windows. */
const WINDOW_MS = 300_000;

/** Keeps the error of quantiles within one percent. */
const SIGNIFICANT_DIGITS = 2;

/**
 * Quantiles of the durations of the last minutes, with count and sum since the
 * start.
 */
export class WindowedHistogram {
  private current = createHistogram();
  private previous = createHistogram();
  private windowStartMs: number;
  private totalCount = 0;
  private totalMs = 0;

  /** @param nowMs - Monotonic time, in milliseconds. */
  constructor(nowMs: number) {
    this.windowStartMs = nowMs;
  }

  /** Number of durations recorded since the start. */
  get count(): number {
    return this.totalCount;
  }

  /** Sum of the durations since the start, in milliseconds. */
  get sumMs(): number {
    return this.totalMs;
  }

  /**
   * Records a duration.
   *
   * @param durationMs - The duration, in milliseconds; below zero counts as zero.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(durationMs: number, nowMs: number): void {
    this.rotate(nowMs);
    const duration = Math.max(0, durationMs);
    const microseconds = Math.round(duration * MICROSECONDS_PER_MILLISECOND);
    this.current.recordValue(Math.min(microseconds, MAXIMUM_MICROSECONDS));
    this.totalCount += 1;
    this.totalMs += duration;
  }

  /**
   * Returns quantiles of the last one to two windows.
   *
   * @param quantiles - From 0 to 1.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Milliseconds in the order of the quantiles; NaN without values.
   */
  quantilesMs(quantiles: readonly number[], nowMs: number): number[] {
    this.rotate(nowMs);
    const merged = this.mergeWindows();
    if (merged.totalCount === 0) return quantiles.map(() => NaN);
    return quantiles.map(
      quantile =>
        merged.getValueAtPercentile(quantile * 100) /
        MICROSECONDS_PER_MILLISECOND,
    );
  }

  /** Merges both windows; makes no copy if one of them is empty. */
  private mergeWindows(): Histogram {
    if (this.previous.totalCount === 0) return this.current;
    if (this.current.totalCount === 0) return this.previous;
    const merged = createHistogram();
    merged.add(this.previous);
    merged.add(this.current);
    return merged;
  }

  /** Starts a new window if the current one has ended. */
  private rotate(nowMs: number): void {
    const ageMs = nowMs - this.windowStartMs;
    if (ageMs < WINDOW_MS) return;
    const isRecent = ageMs < 2 * WINDOW_MS;
    this.previous = isRecent ? this.current : createHistogram();
    this.current = createHistogram();
    this.windowStartMs = nowMs;
  }
}

function createHistogram(): Histogram {
  return build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}
