/** Counts the forwarded requests that this proxy is executing. */
export class InFlightRequests {
  private count = 0;
  private arrivedAtMs = 0;

  /** Number of requests in progress. */
  get size(): number {
    return this.count;
  }

  /** Monotonic arrival time of the last request, in milliseconds. */
  get lastArrivalAtMs(): number {
    return this.arrivedAtMs;
  }

  /** Runs work and counts it as in progress until it has ended. */
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
