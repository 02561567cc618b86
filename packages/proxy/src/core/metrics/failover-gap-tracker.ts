import type {MetricsRegistry} from './metrics-registry.js';

/** The latest acknowledged write of a group. */
interface LastAcknowledgement {
  readonly term: number;
  readonly atMs: number;
}

/** Measures the time without acknowledged writes between terms of a group. */
export class FailoverGapTracker {
  private readonly last = new Map<string, LastAcknowledgement>();

  /** @param metrics - Registry that records each gap. */
  constructor(private readonly metrics: MetricsRegistry) {}

  /**
   * Records an acknowledged write and measures the gap at a new term.
   *
   * @param group - Name of the group.
   * @param term - Term of the write.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordAcknowledgedWrite(group: string, term: number, nowMs: number): void {
    const previous = this.last.get(group);
    if (previous !== undefined && term < previous.term) return;
    if (previous !== undefined && term > previous.term) {
      const name = 'sapphireglade_failover_gap_seconds';
      this.metrics.recordDuration(name, nowMs - previous.atMs, {group});
    }
    this.last.set(group, {term, atMs: nowMs});
  }
}
