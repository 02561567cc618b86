import type {PrimaryRecord} from '@sapphireglade/decisions';

/** A primary record, and the revision at which it was written. */
export interface VersionedPrimaryRecord {
  readonly record: PrimaryRecord;
  readonly revision: number;
  /**
   * Generation of the store from which the record was read; left out if the
   * store has none.
   */
  readonly generation?: number | undefined;
}

/**
 * Returns whether a record was written before the store was restored from a
 * backup, so that later records of the group may have been lost.
 */
export function isOutdated({
  record,
  generation = 0,
}: VersionedPrimaryRecord): boolean {
  return (record.generation ?? 0) !== generation;
}
