import type {LogPosition} from '../groups/index.js';

/** Consistency that a route requires of its reads. */
export const ReadConsistency = {
  /** Reads see every commit acknowledged before the read. */
  Primary: 'primary',
  /** Reads see every commit acknowledged longer ago than the allowed age. */
  BoundedStaleness: 'bounded-staleness',
  /** Bounded staleness, plus every commit of the same session. */
  ReadYourWrites: 'read-your-writes',
} as const;

/** A value of {@link ReadConsistency}. */
export type ReadConsistency =
  (typeof ReadConsistency)[keyof typeof ReadConsistency];

/** An instance that can serve a read. */
export interface InstanceCandidate {
  /** Identifier of the instance. */
  readonly id: string;
  /** Whether it is the primary of the group. */
  readonly isPrimary: boolean;
  /** Network round trip time, in milliseconds. */
  readonly roundTripMs: number;
  /** Whether its traffic crosses a paid link. */
  readonly isPaidLink: boolean;
  /** Number of requests waiting for a connection. */
  readonly queued: number;
  /** Number of connections that serve the queue. */
  readonly connections: number;
  /** Number of idle connections. */
  readonly free: number;
  /** Smoothed time that a request holds a connection, in milliseconds. */
  readonly holdingMs: number;
  /** Expected time until it shows the position that the read needs, in milliseconds. */
  readonly catchUpMs: number;
  /** When it last failed to answer, in milliseconds. */
  readonly lastFailedAtMs: number;
}

/** Source of an observed position. */
export const PositionSource = {
  /** An answer of the primary. */
  Primary: 'primary',
  /** The stored record of a change of primary. */
  Record: 'record',
  /** Answers of all replicas together. */
  Survey: 'survey',
} as const;

/** A value of {@link PositionSource}. */
export type PositionSource =
  (typeof PositionSource)[keyof typeof PositionSource];

/** A position that includes every commit acknowledged before a given time. */
export interface ObservedPosition {
  /** The time, in milliseconds; for an answer, when its request was sent. */
  readonly sentAtMs: number;
  /** The position; it includes every commit acknowledged before that time. */
  readonly position: LogPosition;
  /** Where the position comes from. */
  readonly source: PositionSource;
}
