import type {StoredItem} from './store-types.js';

/** A listener for one section of the store: all keys with a prefix. */
export abstract class StorePrefixListener {
  /** @param prefix - Prefix of the keys of the section. */
  constructor(readonly prefix: string) {}

  /** Replaces the content of the section with a snapshot. */
  abstract onSnapshot(items: readonly StoredItem[]): void;

  /** Applies a written key. */
  abstract onPut(item: StoredItem): void;

  /** Applies the removal of a key. */
  abstract onDelete(key: string, revision: number): void;

  /**
   * Forgets the revisions of the section, because the store was restored from a
   * backup. A list of the restored content follows, which at first may lack
   * keys that are written again.
   */
  onRestored(): void {
    return undefined;
  }
}
