/** Weight of one observation in the smoothed time. */
const SAMPLE_WEIGHT = 0.1;

/** First estimate of how long a connection is held, in milliseconds. */
const INITIAL_HOLDING_MS = 30;

/** Smoothed time for which a request holds a connection. */
export class HoldingTime {
  private smoothedMs = INITIAL_HOLDING_MS;

  /** The estimate, in milliseconds. */
  get averageMs(): number {
    return this.smoothedMs;
  }

  /** Takes one observation in. */
  record(heldMs: number): void {
    this.smoothedMs += SAMPLE_WEIGHT * (heldMs - this.smoothedMs);
  }
}
