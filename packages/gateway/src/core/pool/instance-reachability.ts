import type {SapphiregladeError} from '@sapphireglade/decisions';
import {ConnectionBackoff} from './connection-backoff.js';
import type {PoolLog} from './pool-log.js';

/** What attempts to open a connection have shown of an instance, and when the next one may follow. */
export class InstanceReachability {
  private readonly backoff = new ConnectionBackoff();
  private sinceMs: number | undefined;

  /** @param events - Log of the connections to the instance. */
  constructor(private readonly events: PoolLog) {}

  /** Time since which no connection could be opened, in milliseconds; undefined if the instance is reachable. */
  get unreachableSinceMs(): number | undefined {
    return this.sinceMs;
  }

  /** Whether the instance refused the last connection over its limit. */
  get isOverLimit(): boolean {
    return this.backoff.isOverLimit;
  }

  /** Returns whether a connection may be opened now. */
  canOpen(nowMs: number): boolean {
    return this.backoff.canOpen(nowMs);
  }

  /** Records that a connection was opened. */
  recordOpened(): void {
    if (this.sinceMs !== undefined) this.events.logReachable();
    this.sinceMs = undefined;
    this.backoff.recordSuccess();
  }

  /**
   * Records that a connection could not be opened.
   *
   * @param error - Why it could not be opened.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @param open - Number of open connections.
   * @param share - Number of connections that may be open.
   */
  recordFailure(
    error: SapphiregladeError,
    nowMs: number,
    open: number,
    share: number,
  ): void {
    const wasOverLimit = this.backoff.isOverLimit;
    this.backoff.failed(error, nowMs);
    if (this.backoff.isOverLimit) {
      if (!wasOverLimit) this.events.logOverLimit(open, share);
      return;
    }
    if (open > 0 || share === 0 || this.sinceMs !== undefined) return;
    this.sinceMs = nowMs;
    this.events.logUnreachable(error);
  }

  /** Records that an open connection was lost. */
  recordLost(reason: string): void {
    this.events.logConnectionLost(reason);
  }

  /** Forgets since when the instance could not be reached, because no connection may be opened any more. */
  forget(): void {
    this.sinceMs = undefined;
  }
}
