import type {RowChange} from './tables.js';

/**
 * Write locks on rows. The first transaction that changes a row holds its lock
 * until the transaction ends. Nothing waits for a lock, so deadlocks can't occur.
 */
export class RowLocks {
  private readonly holders = new Map<string, string>();

  /** Returns whether another transaction holds the lock of a row. */
  isHeldByOther(change: RowChange, transaction: string | undefined): boolean {
    const holder = this.holders.get(lockKey(change));
    return holder !== undefined && holder !== transaction;
  }

  /** Locks rows for a transaction. */
  acquire(changes: readonly RowChange[], transaction: string): void {
    for (const change of changes) {
      this.holders.set(lockKey(change), transaction);
    }
  }

  /** Releases every lock of a transaction. */
  release(transaction: string): void {
    for (const [name, holder] of this.holders) {
      if (holder === transaction) this.holders.delete(name);
    }
  }
}

function lockKey({table, key}: RowChange): string {
  return `${table}\0${typeof key}\0${String(key)}`;
}
