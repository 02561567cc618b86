import type {PrimaryRecord} from '@sapphireglade/decisions';

/** A primary record, and the revision at which it was written. */
export interface VersionedPrimaryRecord {
  readonly record: PrimaryRecord;
  readonly revision: number;
}

/** Progress of a change of primary as observed by this proxy. */
export interface PrimaryChangeProgress {
  /** When the change was announced, in milliseconds of the steady clock. */
  readonly beganAtMs: number;
  /** Whether the primary was replaced while it still worked. */
  readonly isPlanned: boolean;
  /**
   * When the target was recorded, in milliseconds of the steady clock;
   * undefined if it was not.
   */
  readonly targetAtMs: number | undefined;
}
