import type {StoredItem} from '../store/index.js';
import {StoreSection} from '../store/index.js';

/** Prefix of the keys that name every proxy that may be running. */
export const KNOWN_PREFIX = 'sapphireglade/known/';

/**
 * Every proxy that may be running, whether or not it reaches the store.
 *
 * A proxy whose lease has lapsed may go on serving behind a partition, so its
 * name stays here until it has stopped in good order or has been away for
 * long. A change of primary waits for the views of all of them.
 */
export class KnownProxies extends StoreSection {
  private readonly present = new Set<string>();

  constructor() {
    super(KNOWN_PREFIX);
  }

  /** Names of the proxies. */
  get names(): string[] {
    return [...this.present];
  }

  /** Whether a proxy of this name may be running, by what the store says. */
  has(name: string): boolean {
    return this.present.has(name);
  }

  override replace(items: readonly StoredItem[]): void {
    this.present.clear();
    for (const item of items) this.written(item);
  }

  override written(item: StoredItem): void {
    this.present.add(item.key.slice(KNOWN_PREFIX.length));
  }

  override removed(key: string): void {
    this.present.delete(key.slice(KNOWN_PREFIX.length));
  }
}
