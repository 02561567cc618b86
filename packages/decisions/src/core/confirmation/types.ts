import type {LogPosition} from '../groups/index.js';

/** How long an observation of an instance's term is valid, in milliseconds. */
export const TERM_VALIDITY_MS = 1_000;

/** A write that waits until a majority of the instances has it. */
export interface WaitingWrite {
  /** Position of the write in the log of its term's primary. */
  readonly position: LogPosition;
  /** Instance that ran the write. */
  readonly primary: string;
  /** Names of the voters of its term. */
  readonly instances: readonly string[];
  /** When the write was sent to the primary, monotonic, in milliseconds. */
  readonly sentAtMs: number;
  /** When the caller's deadline ends, monotonic, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Instances that have reported the write in its own term. */
  readonly holders: ReadonlySet<string>;
  /**
   * Latest time at which each instance is certain to have granted no higher
   * term, monotonic, in milliseconds.
   */
  readonly termObservedAtMs: ReadonlyMap<string, number>;
  /** Instances that have granted a higher term. */
  readonly supersededInstances: ReadonlySet<string>;
}

/** Reported log position and term of an instance. */
export interface TermObservation {
  readonly instance: string;
  readonly grantedTerm: number;
  readonly position: LogPosition;
  /** On a primary: the last position confirmed by each replica. */
  readonly replicas: Readonly<Record<string, LogPosition>>;
  /** When the request was sent, monotonic, in milliseconds. */
  readonly askedAtMs: number;
}

/** Confirmation state of a waiting write. */
export const ConfirmationState = {
  /** Fewer instances than a majority have reported the write. */
  Waiting: 'waiting',
  /** A majority has it, but the observations of its term have expired. */
  Stale: 'stale',
  /** A majority has it in its term. */
  Confirmed: 'confirmed',
  /** A majority granted a higher term before confirmation. */
  Superseded: 'superseded',
  /** The deadline passed before confirmation. */
  Expired: 'expired',
} as const;

/** One of the confirmation states. */
export type ConfirmationState =
  (typeof ConfirmationState)[keyof typeof ConfirmationState];
