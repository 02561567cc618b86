import type {MetricsRegistry} from './metrics-registry.js';

/** The newest acknowledged write of a group. */
interface LastAcknowledgement {
  readonly term: number;
  readonly atMs: number;
}

/** Measures how long a group acknowledged no write between two terms. */
export class FailoverGapTracker {
  private readonly last = new Map<string, LastAcknowledgement>();

  /** @param metrics - Receives each gap. */
  constructor(private readonly metrics: MetricsRegistry) {}

  /**
   * Takes in that a write was acknowledged.
   *
   * @param group - Name of the group.
   * @param term - Term of the write.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordAcknowledgedWrite(group: string, term: number, nowMs: number): void {
    const last = this.last.get(group);
    if (last !== undefined && term < last.term) return;
    if (last !== undefined && term > last.term) {
      const name = 'sapphireglade_failover_gap_seconds';
      this.metrics.recordDuration(name, nowMs - last.atMs, {group});
    }
    this.last.set(group, {term, atMs: nowMs});
  }
}
