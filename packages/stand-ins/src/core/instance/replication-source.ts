import {firstValueFrom, merge, timer} from 'rxjs';
import type {InstanceState} from './instance-state.js';
import type {
  ReplicateResponse,
  ReplicateRequest,
} from './replication-schemas.js';
import type {LogEntry} from './replicated-log.js';

/** Most entries in one answer. */
const MAXIMUM_BATCH_ENTRIES = 500;

/** Gives followers the entries that are due. */
export class ReplicationSource {
  /** @param state - State of the primary. */
  constructor(private readonly state: InstanceState) {}

  /**
   * Waits until entries are due or the time has passed.
   *
   * @throws RefusalError if the instance does not lead in the term.
   */
  async replicate(request: ReplicateRequest): Promise<ReplicateResponse> {
    const deadline = performance.now() + request.timeoutMs;
    for (;;) {
      this.state.recordConfirmation(request);
      const waiting = this.pendingEntries(request);
      const due = waiting.filter(entry => remainingLagMs(entry, request) <= 0);
      const remainingMs = deadline - performance.now();
      if (due.length > 0 || remainingMs <= 0) return {entries: due};
      await this.waitForDueEntry(waiting[0], request, remainingMs);
    }
  }

  private pendingEntries({after}: ReplicateRequest): LogEntry[] {
    return this.state.database.log.entriesAfter(
      after.position,
      MAXIMUM_BATCH_ENTRIES,
    );
  }

  /** Waits for the next entry to be due, or for one to be written. */
  private async waitForDueEntry(
    next: LogEntry | undefined,
    request: ReplicateRequest,
    remainingMs: number,
  ): Promise<void> {
    if (next === undefined) {
      const news = merge(this.state.changes$, timer(remainingMs));
      await firstValueFrom(news);
      return;
    }
    const waitMs = Math.min(remainingMs, remainingLagMs(next, request));
    await firstValueFrom(timer(Math.max(1, waitMs)));
  }
}

function remainingLagMs(entry: LogEntry, {lagMs}: ReplicateRequest): number {
  return lagMs === 0 ? 0 : entry.committedAt + lagMs - Date.now();
}
