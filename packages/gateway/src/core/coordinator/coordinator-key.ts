import type {StoredItem} from '../store/index.js';
import {StorePrefixListener} from '../store/index.js';

/** The key that holds the name and incarnation of the coordinator. */
export const COORDINATOR_KEY = 'sapphireglade/coordinator';

/** Tracks the coordinator key of the store. */
export class CoordinatorKey extends StorePrefixListener {
  private item: StoredItem | undefined;
  private lastRevision = 0;

  constructor() {
    super(COORDINATOR_KEY);
  }

  /**
   * Name and incarnation of the current coordinator, or undefined if there is
   * none.
   */
  get holder(): string | undefined {
    return this.item?.value.toString('utf8');
  }

  /**
   * Revision at which the current coordinator wrote the key; 0 if there is no
   * coordinator.
   */
  get revision(): number {
    return this.item?.revision ?? 0;
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    this.item = undefined;
    for (const item of items) this.onPut(item);
  }

  override onPut(item: StoredItem): void {
    if (item.revision < this.lastRevision) return;
    this.lastRevision = item.revision;
    this.item = item;
  }

  override onDelete(_key: string, revision: number): void {
    if (revision < this.lastRevision) return;
    this.lastRevision = revision;
    this.item = undefined;
  }
}
