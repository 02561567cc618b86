import type {PrimaryRecord} from '@sapphireglade/decisions';

/** A primary record, and the revision at which it was written. */
export interface VersionedPrimaryRecord {
  readonly record: PrimaryRecord;
  readonly revision: number;
}
