import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Summary of recorded times, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maximumMs: number;
}

/** Records times in a histogram. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    numberOfSignificantValueDigits: 3,
  });

  /** Records a time, in milliseconds. */
  record(timeMs: number): void {
    this.histogram.recordValue(
      Math.max(1, Math.round(timeMs * MICROSECONDS_PER_MILLISECOND)),
    );
  }

  /** Summarizes the recorded times. */
  summary(): LatencySummary {
    return {
      count: this.histogram.totalCount,
      p50Ms: this.percentile(50),
      p95Ms: this.percentile(95),
      p99Ms: this.percentile(99),
      maximumMs: this.histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    };
  }

  private percentile(percent: number): number {
    const value = this.histogram.getValueAtPercentile(percent);
    return value / MICROSECONDS_PER_MILLISECOND;
  }
}
