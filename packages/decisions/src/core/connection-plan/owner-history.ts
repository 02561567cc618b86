/** An owner of a group, as it was listed. */
export interface ListedOwner {
  /** Name of the proxy. */
  readonly name: string;
  /** Its availability zone; undefined if unknown. */
  readonly availabilityZone: string | undefined;
}

/** The owners of a group from a time on. */
export interface DatedOwners {
  readonly owners: readonly ListedOwner[];
  /** Time in milliseconds of the process clock. */
  readonly sinceMs: number;
}

/**
 * The lists of owners that a proxy has seen, each with the zones of its own
 * time: the zone of a proxy that has left cannot be looked up any more.
 */
export class OwnerHistory {
  private dated: DatedOwners[] = [];

  /**
   * @param retentionMs - How long a list is kept after it was replaced, in
   *   milliseconds.
   */
  constructor(private readonly retentionMs: number) {}

  /** The lists, oldest first. */
  get lists(): readonly DatedOwners[] {
    return this.dated;
  }

  /**
   * Records the current list.
   *
   * @param owners - The owners.
   * @param nowMs - The time, in milliseconds of the process clock.
   */
  record(owners: readonly ListedOwner[], nowMs: number): void {
    const last = this.dated.at(-1);
    if (last === undefined || !areSame(last.owners, owners))
      this.dated.push({owners: [...owners], sinceMs: nowMs});
    const startMs = nowMs - this.retentionMs;
    while (this.dated[1] !== undefined && this.dated[1].sinceMs <= startMs)
      this.dated.shift();
  }

  /** Forgets every list but the current one. */
  forgetFormer(): void {
    this.dated = this.dated.slice(-1);
  }
}

/** Returns whether two lists have the same owners in the same zones, in any order. */
function areSame(
  left: readonly ListedOwner[],
  right: readonly ListedOwner[],
): boolean {
  return (
    left.length === right.length &&
    left.every(owner =>
      right.some(
        ({name, availabilityZone}) =>
          name === owner.name && availabilityZone === owner.availabilityZone,
      ),
    )
  );
}
