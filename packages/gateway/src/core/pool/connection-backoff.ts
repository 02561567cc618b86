import type {SapphiregladeError} from '@sapphireglade/decisions';
import {ErrorKind} from '@sapphireglade/decisions';

/** Delay after a failed connection attempt, in milliseconds. */
export const RECONNECT_DELAY_MS = 150;

/** First delay after the instance refused a connection over its limit, in milliseconds; doubles with each refusal. */
const INITIAL_OVER_LIMIT_DELAY_MS = 200;

/** Maximum delay after such refusals, in milliseconds; instances drop dead peers after three seconds. */
const MAXIMUM_OVER_LIMIT_DELAY_MS = 800;

/** Determines when the next connection to an instance may be opened. */
export class ConnectionBackoff {
  private nextAttemptAtMs = 0;
  private overLimitDelayMs = INITIAL_OVER_LIMIT_DELAY_MS;
  private wasOverLimit = false;

  /** Whether the instance refused the last connection over its limit. */
  get isOverLimit(): boolean {
    return this.wasOverLimit;
  }

  /** Returns whether a connection may be opened now. */
  canOpen(nowMs: number): boolean {
    return nowMs >= this.nextAttemptAtMs;
  }

  /** Records that a connection opened. */
  recordSuccess(): void {
    this.wasOverLimit = false;
    this.overLimitDelayMs = INITIAL_OVER_LIMIT_DELAY_MS;
  }

  /**
   * Records that a connection did not open, and schedules the next attempt.
   *
   * @param error - Why it did not open.
   * @param nowMs - Current time, in milliseconds of the process clock.
   */
  failed(error: SapphiregladeError, nowMs: number): void {
    this.wasOverLimit = error.kind === ErrorKind.Overloaded;
    if (!this.wasOverLimit) {
      this.nextAttemptAtMs = nowMs + RECONNECT_DELAY_MS;
      return;
    }
    // Randomized, so that proxies that restart together do not retry together.
    this.nextAttemptAtMs =
      nowMs + this.overLimitDelayMs * (0.5 + Math.random());
    this.overLimitDelayMs = Math.min(
      MAXIMUM_OVER_LIMIT_DELAY_MS,
      this.overLimitDelayMs * 2,
    );
  }
}
