import type {StoredItem} from './coordination-store.js';
import {StoreSection} from './store-section.js';

/** Most removals that are remembered one by one. */
const MAXIMUM_REMOVALS = 1_000;

/** What changed in a part of the store since a revision. */
export interface MirrorChanges {
  /** Whether the items are all there are, and not only those that changed. */
  readonly isWhole: boolean;
  readonly items: readonly StoredItem[];
  readonly removals: readonly RemovedKey[];
}

/** A key that was removed, and when. */
export interface RemovedKey {
  readonly key: string;
  readonly revision: number;
}

/** Keeps a part of the store as it is, to pass it on to other proxies. */
export class StoreMirror extends StoreSection {
  private readonly items = new Map<string, StoredItem>();
  private removals: RemovedKey[] = [];
  /** Changes up to this revision are not known one by one. */
  private knownFrom = 0;

  override replace(items: readonly StoredItem[]): void {
    this.items.clear();
    this.removals = [];
    for (const item of items) {
      this.items.set(item.key, item);
      this.knownFrom = Math.max(this.knownFrom, item.revision);
    }
  }

  override written(item: StoredItem): void {
    this.items.set(item.key, item);
  }

  override removed(key: string, revision: number): void {
    this.items.delete(key);
    this.removals.push({key, revision});
    if (this.removals.length <= MAXIMUM_REMOVALS) return;
    const forgotten = this.removals.shift();
    this.knownFrom = Math.max(this.knownFrom, forgotten?.revision ?? 0);
  }

  /**
   * What changed since a revision.
   *
   * @param revision - Changes up to it are known; nothing if none are.
   */
  changesSince(revision: number | undefined): MirrorChanges {
    const items = [...this.items.values()];
    if (revision === undefined || revision < this.knownFrom) {
      return {isWhole: true, items, removals: []};
    }
    return {
      isWhole: false,
      items: items.filter(item => item.revision > revision),
      removals: this.removals.filter(each => each.revision > revision),
    };
  }
}
