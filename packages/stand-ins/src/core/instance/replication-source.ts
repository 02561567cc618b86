import {firstValueFrom, merge, timer} from 'rxjs';
import type {InstanceState} from './instance-state.js';
import type {
  ReplicateResponse,
  ReplicateRequest,
} from './replication-schemas.js';
import type {LogEntry} from './replicated-log.js';

/** Maximum number of entries in one response. */
const MAXIMUM_BATCH_ENTRIES = 500;

/** Serves due log entries to replicas. */
export class ReplicationSource {
  /** @param state - State of the primary. */
  constructor(private readonly state: InstanceState) {}

  /**
   * Waits until entries are due or the timeout expires, and returns them.
   *
   * @throws RefusalError if the instance is not the primary of the term.
   */
  async replicate(request: ReplicateRequest): Promise<ReplicateResponse> {
    const deadline = performance.now() + request.timeoutMs;
    for (;;) {
      this.state.recordConfirmation(request);
      const pending = this.pendingEntries(request);
      const due = pending.filter(entry => remainingLagMs(entry, request) <= 0);
      const remainingMs = deadline - performance.now();
      if (due.length > 0 || remainingMs <= 0) return {entries: due};
      await this.waitForDueEntry(pending[0], request, remainingMs);
    }
  }

  private pendingEntries({after}: ReplicateRequest): LogEntry[] {
    return this.state.database.log.entriesAfter(
      after.position,
      MAXIMUM_BATCH_ENTRIES,
    );
  }

  /** Waits until the next entry is due, or for a new one if there is none. */
  private async waitForDueEntry(
    next: LogEntry | undefined,
    request: ReplicateRequest,
    remainingMs: number,
  ): Promise<void> {
    if (next === undefined) {
      const change$ = merge(this.state.changes$, timer(remainingMs));
      await firstValueFrom(change$);
      return;
    }
    const waitMs = Math.min(remainingMs, remainingLagMs(next, request));
    await firstValueFrom(timer(Math.max(1, waitMs)));
  }
}

function remainingLagMs(entry: LogEntry, {lagMs}: ReplicateRequest): number {
  return lagMs === 0 ? 0 : entry.committedAt + lagMs - Date.now();
}
