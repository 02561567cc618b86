/** Weight of one sample in the smoothed time. */
const SAMPLE_WEIGHT = 0.1;

/** Initial estimate of the holding time, in milliseconds. */
const INITIAL_HOLDING_MS = 30;

/** Smoothed time that a request holds a connection. */
export class HoldingTime {
  private smoothedMs = INITIAL_HOLDING_MS;

  /** The estimate, in milliseconds. */
  get averageMs(): number {
    return this.smoothedMs;
  }

  /** Records one sample. */
  record(heldMs: number): void {
    this.smoothedMs += SAMPLE_WEIGHT * (heldMs - this.smoothedMs);
  }
}
