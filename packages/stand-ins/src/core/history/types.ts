import type {Outcome} from '@sapphireglade/decisions';
import type {SqlValue} from '@sapphireglade/protocol';
import type {LogEntry, TermEvent} from '../instance/index.js';

/** Booking requested by a caller. */
export interface RecordedWrite {
  readonly group: string;
  /** Value of the unique column; different for each booking. */
  readonly key: SqlValue;
  readonly idempotent: boolean;
  readonly outcome: Outcome;
  /** Term in the response; undefined unless the outcome is `done`. */
  readonly term: number | undefined;
  /** Wall clock time at which the request was sent, in milliseconds. */
  readonly startedAt: number;
  /** Wall clock time at which the request ended, in milliseconds. */
  readonly endedAt: number;
}

/** Read of a booking by a caller in its own session. */
export interface RecordedRead {
  readonly group: string;
  readonly key: SqlValue;
  readonly outcome: Outcome;
  /** Whether the response contained the booking. */
  readonly wasFound: boolean;
}

/** State and log of an instance at the end of a history. */
export interface InstanceHistory {
  readonly group: string;
  readonly instance: string;
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly entries: readonly LogEntry[];
  readonly termEvents: readonly TermEvent[];
  /** Number of runs of writes by key, committed or not. */
  readonly runs: ReadonlyMap<SqlValue, number>;
}

/** Recorded requests of callers and the final state of the instances. */
export interface History {
  readonly writes: readonly RecordedWrite[];
  readonly reads: readonly RecordedRead[];
  readonly instances: readonly InstanceHistory[];
}

/** Rules that a history can violate. */
export const ViolationKind = {
  /** An acknowledged booking is not in the log of the final primary. */
  LostWrite: 'lost-write',
  /** A booking is in the log of the final primary more than once. */
  DuplicateWrite: 'doubled-write',
  /** A booking with outcome "not run" did run. */
  FalseNotRun: 'wrong-not-run',
  /** A booking that is not idempotent ran more than once. */
  RanTwice: 'ran-twice',
  /** A booking was acknowledged by a primary that had already been replaced. */
  StaleAcknowledgement: 'stale-acknowledgement',
  /** A session did not read its own booking back. */
  OwnWriteNotRead: 'own-write-not-read',
  /** A group has no primary at the end. */
  NoFinalPrimary: 'no-final-primary',
} as const;

/** Kind of a violation. */
export type ViolationKind = (typeof ViolationKind)[keyof typeof ViolationKind];

/** Violation found in a history. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly group: string;
  readonly key: SqlValue;
  readonly details: string;
}
