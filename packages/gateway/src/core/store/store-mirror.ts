import type {StoredItem} from './coordination-store.js';
import {StorePrefixListener} from './store-prefix-listener.js';

/** Most removals that are remembered one by one. */
const MAXIMUM_TRACKED_REMOVALS = 1_000;

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
export class StoreMirror extends StorePrefixListener {
  private readonly items = new Map<string, StoredItem>();
  private removals: RemovedKey[] = [];
  /** Changes up to this revision are not known one by one. */
  private compactedRevision = 0;

  override onSnapshot(items: readonly StoredItem[]): void {
    this.items.clear();
    this.removals = [];
    for (const item of items) {
      this.items.set(item.key, item);
      this.compactedRevision = Math.max(this.compactedRevision, item.revision);
    }
  }

  override onPut(item: StoredItem): void {
    this.items.set(item.key, item);
  }

  override onDelete(key: string, revision: number): void {
    this.items.delete(key);
    this.removals.push({key, revision});
    if (this.removals.length <= MAXIMUM_TRACKED_REMOVALS) return;
    const forgotten = this.removals.shift();
    this.compactedRevision = Math.max(
      this.compactedRevision,
      forgotten?.revision ?? 0,
    );
  }

  /**
   * What changed since a revision.
   *
   * @param revision - Changes up to it are known; nothing if none are.
   */
  changesSince(revision: number | undefined): MirrorChanges {
    const items = [...this.items.values()];
    if (revision === undefined || revision < this.compactedRevision) {
      return {isWhole: true, items, removals: []};
    }
    return {
      isWhole: false,
      items: items.filter(item => item.revision > revision),
      removals: this.removals.filter(each => each.revision > revision),
    };
  }
}
