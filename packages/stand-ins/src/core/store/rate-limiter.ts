/** Length of the window in which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Rate limiter with fixed windows of one second. */
export class RateLimiter {
  private windowStartMs = -WINDOW_MS;
  private admitted = 0;

  /** @param maximumPerSecond - Maximum number of calls in one window. */
  constructor(private readonly maximumPerSecond: number) {}

  /**
   * Counts a call if the limit of the current window allows it.
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
