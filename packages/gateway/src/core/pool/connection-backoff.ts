import type {SapphiregladeError} from '@sapphireglade/decisions';
import {ErrorKind} from '@sapphireglade/decisions';

/** Pause between two failed openings, in milliseconds. */
export const RECONNECT_DELAY_MS = 150;

/** First pause after the instance refused a connection over its limit, in milliseconds; it doubles. */
const INITIAL_OVER_LIMIT_DELAY_MS = 200;

/** Longest pause after such refusals, in milliseconds; dead peers are dropped after three seconds. */
const MAXIMUM_OVER_LIMIT_DELAY_MS = 800;

/** When the next connection to an instance may be opened. */
export class ConnectionBackoff {
  private nextAttemptAtMs = 0;
  private overLimitDelayMs = INITIAL_OVER_LIMIT_DELAY_MS;
  private wasOverLimit = false;

  /** Whether the instance refused the last opening over its limit. */
  get isOverLimit(): boolean {
    return this.wasOverLimit;
  }

  /** Says whether a connection may be opened now. */
  canOpen(nowMs: number): boolean {
    return nowMs >= this.nextAttemptAtMs;
  }

  /** A connection opened. */
  recordSuccess(): void {
    this.wasOverLimit = false;
    this.overLimitDelayMs = INITIAL_OVER_LIMIT_DELAY_MS;
  }

  /**
   * A connection did not open.
   *
   * @param error - Why.
   * @param nowMs - The time, in milliseconds of the process clock.
   */
  failed(error: SapphiregladeError, nowMs: number): void {
    this.wasOverLimit = error.kind === ErrorKind.Overloaded;
    if (!this.wasOverLimit) {
      this.nextAttemptAtMs = nowMs + RECONNECT_DELAY_MS;
      return;
    }
    // Spread, so that proxies that restart together do not meet again.
    this.nextAttemptAtMs =
      nowMs + this.overLimitDelayMs * (0.5 + Math.random());
    this.overLimitDelayMs = Math.min(
      MAXIMUM_OVER_LIMIT_DELAY_MS,
      this.overLimitDelayMs * 2,
    );
  }
}
