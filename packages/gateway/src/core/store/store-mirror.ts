import type {StoredItem} from './store-types.js';
import {StorePrefixListener} from './store-prefix-listener.js';

/** Maximum number of removals that are tracked individually. */
const MAXIMUM_TRACKED_REMOVALS = 1_000;

/** Changes of a section of the store since a revision. */
export interface MirrorChanges {
  /**
   * Whether the items are the complete section instead of only those that
   * changed.
   */
  readonly isWhole: boolean;
  readonly items: readonly StoredItem[];
  readonly removals: readonly RemovedKey[];
}

/** A removed key, and the revision of its removal. */
export interface RemovedKey {
  readonly key: string;
  readonly revision: number;
}

/** Keeps a copy of a section of the store, to relay it to other proxies. */
export class StoreMirror extends StorePrefixListener {
  private readonly items = new Map<string, StoredItem>();
  private removals: RemovedKey[] = [];
  /** Changes up to this revision are no longer available individually. */
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
    const dropped = this.removals.shift();
    this.compactedRevision = Math.max(
      this.compactedRevision,
      dropped?.revision ?? 0,
    );
  }

  override onRestored(): void {
    this.items.clear();
    this.removals = [];
    this.compactedRevision = 0;
  }

  /**
   * Returns the changes since a revision.
   *
   * @param revision - Last revision that the requester has received; undefined
   *   if it has none.
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
