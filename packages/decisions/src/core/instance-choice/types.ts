import type {LogPosition} from '../groups/index.js';

/** How fresh the reads of a route must be. */
export const ReadConsistency = {
  /** Every commit that was acknowledged before the read. */
  Primary: 'primary',
  /** Every commit acknowledged longer ago than the allowed age. */
  BoundedStaleness: 'bounded-staleness',
  /** Bounded staleness, and every commit of the same session. */
  ReadYourWrites: 'read-your-writes',
} as const;

/** One of the consistencies. */
export type ReadConsistency =
  (typeof ReadConsistency)[keyof typeof ReadConsistency];

/** An instance that a read may go to. */
export interface InstanceCandidate {
  /** Identifier of the instance. */
  readonly id: string;
  /** Whether it leads the group. */
  readonly isPrimary: boolean;
  /** Round trip to it, in milliseconds. */
  readonly roundTripMs: number;
  /** Whether its traffic crosses a paid link. */
  readonly isPaidLink: boolean;
  /** Requests that wait for a connection to it. */
  readonly queued: number;
  /** Connections that serve the queue. */
  readonly connections: number;
  /** Connections that are free now. */
  readonly free: number;
  /** Smoothed time for which a request holds a connection, in milliseconds. */
  readonly holdingMs: number;
  /** When it last refused a read because it was behind, in milliseconds. */
  readonly lastBehindAtMs: number;
  /** When it last failed to answer, in milliseconds. */
  readonly lastFailedAtMs: number;
}

/** Whose word an observed position is. */
export const PositionSource = {
  /** An answer of the primary. */
  Primary: 'primary',
  /** The record of a change of primary. */
  Record: 'record',
  /** What all replicas together showed. */
  Survey: 'survey',
} as const;

/** One of the sources. */
export type PositionSource =
  (typeof PositionSource)[keyof typeof PositionSource];

/** A position, and the time up to which it holds everything acknowledged. */
export interface ObservedPosition {
  /** The time, in milliseconds; for an answer, when its request was sent. */
  readonly sentAtMs: number;
  /** The position; it holds every commit acknowledged before that time. */
  readonly position: LogPosition;
  /** Whose word it is. */
  readonly source: PositionSource;
}
