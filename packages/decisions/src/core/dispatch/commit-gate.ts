/** Time for which commits must be unconfirmed before they count as stalled, in milliseconds. */
const STALLED_AFTER_MS = 500;

/** Fewest unconfirmed commits in a row that count as stalled; the answer to a single one may be lost. */
const MINIMUM_UNCONFIRMED = 2;

/** Interval at which a commit is sent to a primary without confirmations, in milliseconds. */
const PROBE_INTERVAL_MS = 500;

/**
 * Decides whether a commit is sent to a primary.
 *
 * Answers a load of writes on a primary whose replicas receive nothing: each
 * commit sent there would hold a connection until its deadline, and its caller
 * would not know the outcome. While no commit is confirmed, one is sent at each
 * interval to find out when replication works again, and the others are refused
 * before they run. Reads are not concerned.
 */
export class CommitGate {
  private unconfirmed = 0;
  private unconfirmedSinceMs = Infinity;
  private lastProbeAtMs = -Infinity;

  /**
   * Offers a commit.
   *
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns Delay before the caller should retry, in milliseconds, or undefined
   *   if the commit should be sent.
   */
  offer(nowMs: number): number | undefined {
    if (!this.isStalled(nowMs)) return undefined;
    const retryAfterMs = this.lastProbeAtMs + PROBE_INTERVAL_MS - nowMs;
    if (retryAfterMs > 0) return retryAfterMs;
    this.lastProbeAtMs = nowMs;
    return undefined;
  }

  /** Records that a commit was sent. */
  recordSent(nowMs: number): void {
    if (this.unconfirmed === 0) this.unconfirmedSinceMs = nowMs;
    this.unconfirmed += 1;
  }

  /** Records that the primary answered a commit, so that replication works or is not awaited. */
  recordAnswered(): void {
    this.unconfirmed = 0;
  }

  private isStalled(nowMs: number): boolean {
    return (
      this.unconfirmed >= MINIMUM_UNCONFIRMED &&
      nowMs - this.unconfirmedSinceMs > STALLED_AFTER_MS
    );
  }
}
