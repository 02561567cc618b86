import type {StoredItem} from './coordination-store.js';

/** A part of the store that one listener is interested in. */
export abstract class StorePrefixListener {
  /** @param prefix - Prefix of the keys of the section. */
  constructor(readonly prefix: string) {}

  /** Takes in everything that the section holds at present. */
  abstract onSnapshot(items: readonly StoredItem[]): void;

  /** Takes in one key as it was written. */
  abstract onPut(item: StoredItem): void;

  /** Takes in that a key was removed. */
  abstract onDelete(key: string, revision: number): void;
}
