/** What the generation of a response says about the store. */
export const GenerationChange = {
  /** The response is of the newest generation that is known. */
  Unchanged: 'unchanged',
  /** No generation was known before. */
  First: 'first',
  /** The store was restored; nothing that was read before counts any more. */
  Restored: 'restored',
  /** The response is older than a restore, and proves nothing. */
  Outdated: 'outdated',
} as const;

/** One of the meanings of a generation. */
export type GenerationChange =
  (typeof GenerationChange)[keyof typeof GenerationChange];

/**
 * Tracks the newest generation of the store.
 *
 * The generation rises by one each time the store is restored from a backup.
 * Revisions and leases of different generations cannot be compared. Responses
 * may arrive in another order than they were sent.
 */
export class StoreGenerations {
  private newest: number | undefined;

  /** The newest generation that was observed; undefined before the first. */
  get current(): number | undefined {
    return this.newest;
  }

  /**
   * Records the generation of a response.
   *
   * @param generation - The generation that the response names.
   * @returns What it says about the store.
   */
  observe(generation: number): GenerationChange {
    const {newest} = this;
    if (newest === generation) return GenerationChange.Unchanged;
    if (newest !== undefined && generation < newest) {
      return GenerationChange.Outdated;
    }
    this.newest = generation;
    return newest === undefined
      ? GenerationChange.First
      : GenerationChange.Restored;
  }
}
