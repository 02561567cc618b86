/** Length of the window in which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Admits a number of calls in each second. */
export class RateLimiter {
  private windowStartMs = -WINDOW_MS;
  private admitted = 0;

  /** @param maximumPerSecond - Most calls in one window of a second. */
  constructor(private readonly maximumPerSecond: number) {}

  /**
   * Asks to make a call.
   *
   * @param now - Monotonic time, in milliseconds.
   * @returns Whether the call is admitted.
   */
  tryAcquire(now: number): boolean {
    if (now - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = now;
      this.admitted = 0;
    }
    if (this.admitted >= this.maximumPerSecond) return false;
    this.admitted += 1;
    return true;
  }
}
