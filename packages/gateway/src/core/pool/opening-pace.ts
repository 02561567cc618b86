import type {SapphiregladeError} from '@sapphireglade/decisions';
import {ErrorKind} from '@sapphireglade/decisions';

/** Pause between two failed openings, in milliseconds. */
export const REOPEN_PAUSE_MS = 150;

/** First pause after the instance refused a connection over its limit, in milliseconds; it doubles. */
const OVER_LIMIT_PAUSE_MS = 200;

/** Longest pause after such refusals, in milliseconds; dead peers are dropped after three seconds. */
const MAXIMUM_OVER_LIMIT_PAUSE_MS = 800;

/** When the next connection to an instance may be opened. */
export class OpeningPace {
  private nextAtMs = 0;
  private overLimitPauseMs = OVER_LIMIT_PAUSE_MS;
  private isLimited = false;

  /** Whether the instance refused the last opening over its limit. */
  get isOverLimit(): boolean {
    return this.isLimited;
  }

  /** Says whether a connection may be opened now. */
  allows(nowMs: number): boolean {
    return nowMs >= this.nextAtMs;
  }

  /** A connection opened. */
  succeeded(): void {
    this.isLimited = false;
    this.overLimitPauseMs = OVER_LIMIT_PAUSE_MS;
  }

  /**
   * A connection did not open.
   *
   * @param error - Why.
   * @param nowMs - The time, in milliseconds of the process clock.
   */
  failed(error: SapphiregladeError, nowMs: number): void {
    this.isLimited = error.kind === ErrorKind.Overloaded;
    if (!this.isLimited) {
      this.nextAtMs = nowMs + REOPEN_PAUSE_MS;
      return;
    }
    // Spread, so that proxies that restart together do not meet again.
    this.nextAtMs = nowMs + this.overLimitPauseMs * (0.5 + Math.random());
    this.overLimitPauseMs = Math.min(
      MAXIMUM_OVER_LIMIT_PAUSE_MS,
      this.overLimitPauseMs * 2,
    );
  }
}
