/** Counts the requests of other proxies that this one is carrying out. */
export class InFlightRequests {
  private count = 0;
  private arrivedAtMs = 0;

  /** How many are in progress. */
  get size(): number {
    return this.count;
  }

  /** Monotonic time at which the last one arrived, in milliseconds. */
  get lastArrivalAtMs(): number {
    return this.arrivedAtMs;
  }

  /** Counts a piece of work from its beginning to its end. */
  async track<Result>(work: () => Promise<Result>): Promise<Result> {
    this.count += 1;
    this.arrivedAtMs = performance.now();
    try {
      return await work();
    } finally {
      this.count -= 1;
    }
  }
}
