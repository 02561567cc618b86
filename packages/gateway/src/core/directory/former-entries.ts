import type {ClockReading, GroupInstance} from '@sapphireglade/decisions';

/** Maximum number of former entries that are remembered. */
const MAXIMUM_ENTRIES = 1_000;

/** When entries that were removed or replaced were last listed. */
export class FormerEntries {
  private readonly lastListedAt = new Map<string, ClockReading>();

  /**
   * Records that an entry is not listed any more.
   *
   * @param instance - The instance, as it was listed.
   * @param lastListedAt - When the last response was requested that showed it.
   */
  record(instance: GroupInstance, lastListedAt: ClockReading): void {
    const key = keyOf(instance);
    this.lastListedAt.delete(key);
    this.lastListedAt.set(key, lastListedAt);
    const [oldest] = this.lastListedAt.keys();
    if (oldest !== undefined && this.lastListedAt.size > MAXIMUM_ENTRIES)
      this.lastListedAt.delete(oldest);
  }

  /** Returns when an entry was last listed; undefined if it is not remembered. */
  find(instance: GroupInstance): ClockReading | undefined {
    return this.lastListedAt.get(keyOf(instance));
  }
}

function keyOf({id, bornAtMs}: GroupInstance): string {
  return JSON.stringify([id, bornAtMs]);
}
