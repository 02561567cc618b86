import type {Outcome} from '@sapphireglade/decisions';
import type {SqlValue} from '@sapphireglade/protocol';
import type {LogEntry, TermEvent} from '../instance/index.js';

/** One booking that a caller asked for. */
export interface RecordedWrite {
  readonly group: string;
  /** Value of the unique column; no two bookings have the same. */
  readonly key: SqlValue;
  readonly idempotent: boolean;
  readonly outcome: Outcome;
  /** Term of the answer; undefined unless the outcome is done. */
  readonly term: number | undefined;
  /** Wall clock when the request was sent, in milliseconds. */
  readonly startedAt: number;
  /** Wall clock when the answer came, in milliseconds. */
  readonly endedAt: number;
}

/** One booking that a caller read back in its own session. */
export interface RecordedRead {
  readonly group: string;
  readonly key: SqlValue;
  readonly outcome: Outcome;
  /** Whether the answer had the booking. */
  readonly wasFound: boolean;
}

/** What an instance has at the end of a history. */
export interface InstanceHistory {
  readonly group: string;
  readonly instance: string;
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly entries: readonly LogEntry[];
  readonly termEvents: readonly TermEvent[];
  /** How often a write of each key ran here, kept or not. */
  readonly runs: ReadonlyMap<SqlValue, number>;
}

/** A whole history: what callers were told and what the instances have. */
export interface History {
  readonly writes: readonly RecordedWrite[];
  readonly reads: readonly RecordedRead[];
  readonly instances: readonly InstanceHistory[];
}

/** What a history can break. */
export const ViolationKind = {
  /** A booking that was acknowledged is not in the final primary. */
  LostWrite: 'lost-write',
  /** A booking is in the final primary more than once. */
  DuplicateWrite: 'doubled-write',
  /** A booking of which a caller was told "not run" did run. */
  FalseNotRun: 'wrong-not-run',
  /** A booking that is not idempotent ran more than once. */
  RanTwice: 'ran-twice',
  /** A replaced primary's booking was acknowledged. */
  StaleAcknowledgement: 'stale-acknowledgement',
  /** A session did not read its own booking. */
  OwnWriteNotRead: 'own-write-not-read',
  /** A group has no primary at the end. */
  NoFinalPrimary: 'no-final-primary',
} as const;

/** One of the kinds. */
export type ViolationKind = (typeof ViolationKind)[keyof typeof ViolationKind];

/** One thing that a history breaks. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly group: string;
  readonly key: SqlValue;
  readonly details: string;
}
