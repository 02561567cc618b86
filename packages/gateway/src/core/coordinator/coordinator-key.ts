import type {StoredItem} from '../store/index.js';
import {StorePrefixListener} from '../store/index.js';

/** Prefix of the keys that hold the name and incarnation of the coordinator. */
export const COORDINATOR_KEY_PREFIX = 'sapphireglade/coordinator/';

/**
 * Returns the key of the coordinator.
 *
 * Each generation of the store has a key of its own, so that a transaction of a
 * coordinator from before a restore cannot meet its condition by a revision
 * that the store has given out again.
 *
 * @param generation - The generation of the store.
 */
export function coordinatorKey(generation: number): string {
  return `${COORDINATOR_KEY_PREFIX}${generation}`;
}

/** Tracks the coordinator keys of the store. */
export class CoordinatorKey extends StorePrefixListener {
  private readonly items = new Map<string, StoredItem>();
  private readonly revisions = new Map<string, number>();

  /** @param generation - Returns the current generation of the store. */
  constructor(private readonly generation: () => number) {
    super(COORDINATOR_KEY_PREFIX);
  }

  /** The key of the current generation. */
  get key(): string {
    return coordinatorKey(this.generation());
  }

  /**
   * Name and incarnation of the current coordinator, or undefined if there is
   * none.
   */
  get holder(): string | undefined {
    return this.items.get(this.key)?.value.toString('utf8');
  }

  /**
   * Revision at which the current coordinator wrote the key; 0 if there is no
   * coordinator.
   */
  get revision(): number {
    return this.items.get(this.key)?.revision ?? 0;
  }

  /** Keys of other generations that are still in the store. */
  get outdatedKeys(): string[] {
    return [...this.items.keys()].filter(key => key !== this.key);
  }

  override onRestored(): void {
    this.items.clear();
    this.revisions.clear();
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    this.items.clear();
    for (const item of items) this.onPut(item);
  }

  override onPut(item: StoredItem): void {
    if (this.isOlder(item.key, item.revision)) return;
    this.revisions.set(item.key, item.revision);
    this.items.set(item.key, item);
  }

  override onDelete(key: string, revision: number): void {
    if (this.isOlder(key, revision)) return;
    this.revisions.set(key, revision);
    this.items.delete(key);
  }

  private isOlder(key: string, revision: number): boolean {
    return revision < (this.revisions.get(key) ?? 0);
  }
}
