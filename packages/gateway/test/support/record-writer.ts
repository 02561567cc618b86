import {PrimaryPhase} from '@sapphireglade/decisions';
import type {DatabaseGroup} from '../../src/index.js';
import type {MemoryGroup} from './memory-group.js';

/** Interval between two writes, in milliseconds. */
const WRITE_INTERVAL_MS = 20;

/** A proxy that follows the records at once, and writes at the recorded primary. */
export class RecordWriter {
  private readonly timer: NodeJS.Timeout;
  private writes = 0;

  /**
   * @param group - The group.
   * @param view - The group as the proxy knows it.
   */
  constructor(
    private readonly group: MemoryGroup,
    private readonly view: DatabaseGroup,
  ) {
    this.timer = setInterval(() => void this.write(), WRITE_INTERVAL_MS);
  }

  /** Stops writing. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends a write, and acknowledges it if the primary is still the recorded one. */
  private async write(): Promise<void> {
    const {group, view} = this;
    const known = view.storedRecord;
    if (known?.record.phase !== PrimaryPhase.Steady) return;
    const primary = group.find(known.record.primary);
    if (primary === undefined || primary.isDown) return;
    this.writes += 1;
    const requestId = `write ${this.writes}`;
    const entry = await group.commit(primary, requestId);
    if (entry === undefined || view.storedRecord !== known) return;
    const {position} = entry;
    group.acknowledged.set(requestId, {atMs: performance.now(), position});
  }
}
