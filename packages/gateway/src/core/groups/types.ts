import type {PrimaryRecord} from '@sapphireglade/decisions';

/** A primary record, and the revision at which it was written. */
export interface VersionedPrimaryRecord {
  readonly record: PrimaryRecord;
  readonly revision: number;
}

/** How far a change of primary is, as this proxy has seen it. */
export interface PrimaryChangeProgress {
  /** When the change was announced, in milliseconds of the steady clock. */
  readonly beganAtMs: number;
  /** Whether the primary was replaced while it still worked. */
  readonly isPlanned: boolean;
  /** When the target was named, if it was, in milliseconds of the steady clock. */
  readonly targetAtMs: number | undefined;
}
