/** Weight of a slower answer in the estimate; a faster one replaces it. */
const SLOWER_SAMPLE_WEIGHT = 0.02;

/** Round trip that is assumed before the first answer, in milliseconds. */
const INITIAL_ROUND_TRIP_MS = 20;

/** Estimates the round trip to an instance from the fastest answers. */
export class RoundTripEstimator {
  private estimateMs = INITIAL_ROUND_TRIP_MS;

  /** The estimate, in milliseconds. */
  get ms(): number {
    return this.estimateMs;
  }

  /** Takes in how long an answer took, in milliseconds. */
  observe(tookMs: number): void {
    if (tookMs < this.estimateMs) this.estimateMs = tookMs;
    else this.estimateMs += SLOWER_SAMPLE_WEIGHT * (tookMs - this.estimateMs);
  }
}
