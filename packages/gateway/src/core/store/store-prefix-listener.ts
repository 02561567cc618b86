import type {StoredItem} from './coordination-store.js';

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
}
