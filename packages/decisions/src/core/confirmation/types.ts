import type {LogPosition} from '../groups/index.js';

/** How long a sight of an instance's term counts, in milliseconds. */
export const TERM_VALIDITY_MS = 1_000;

/** A write that waits until a majority of the instances holds it. */
export interface WaitingWrite {
  /** Where the write stands in the log of its term's primary. */
  readonly position: LogPosition;
  /** Instance that ran it. */
  readonly primary: string;
  /** Names of the group's instances. */
  readonly instances: readonly string[];
  /** When the write was sent to the primary, monotonic, in milliseconds. */
  readonly sentAtMs: number;
  /** When the caller's deadline ends, monotonic, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Instances that have shown the write in its own term. */
  readonly holders: ReadonlySet<string>;
  /**
   * The latest time at which each instance surely had granted no higher term,
   * monotonic, in milliseconds.
   */
  readonly termObservedAtMs: ReadonlyMap<string, number>;
  /** Instances that have granted a higher term. */
  readonly supersededInstances: ReadonlySet<string>;
}

/** What an instance showed of its log and term. */
export interface TermObservation {
  readonly instance: string;
  readonly grantedTerm: number;
  readonly position: LogPosition;
  /** At a primary: the last position that each replica has confirmed. */
  readonly replicas: Readonly<Record<string, LogPosition>>;
  /** When the question was sent, monotonic, in milliseconds. */
  readonly askedAtMs: number;
}

/** Where a waiting write stands. */
export const ConfirmationState = {
  /** Too few instances have shown the write yet. */
  Waiting: 'waiting',
  /** A majority holds it, but its term must be seen again. */
  Stale: 'stale',
  /** A majority holds it in its term. */
  Confirmed: 'confirmed',
  /** A higher term was granted by a majority before confirmation. */
  Superseded: 'superseded',
  /** The deadline came first. */
  Expired: 'expired',
} as const;

/** One of the states. */
export type ConfirmationState =
  (typeof ConfirmationState)[keyof typeof ConfirmationState];
