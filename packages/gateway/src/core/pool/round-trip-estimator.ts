/** Weight of a slower sample in the estimate; a faster sample replaces the estimate. */
const SLOWER_SAMPLE_WEIGHT = 0.02;

/** Round trip assumed before the first answer, in milliseconds. */
const INITIAL_ROUND_TRIP_MS = 20;

/** Estimates the round trip to an instance from the fastest answers. */
export class RoundTripEstimator {
  private estimateMs = INITIAL_ROUND_TRIP_MS;
  /** When the last answer arrived, in milliseconds. */
  lastAnsweredAtMs = -Infinity;

  /** The estimate, in milliseconds. */
  get ms(): number {
    return this.estimateMs;
  }

  /** Updates the estimate with an answer; both times are in milliseconds. */
  recordAnswer(sentAtMs: number, answeredAtMs: number): void {
    this.lastAnsweredAtMs = answeredAtMs;
    const durationMs = answeredAtMs - sentAtMs;
    if (durationMs < this.estimateMs) this.estimateMs = durationMs;
    else
      this.estimateMs += SLOWER_SAMPLE_WEIGHT * (durationMs - this.estimateMs);
  }
}
