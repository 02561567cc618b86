import type {InstanceRole, LogPosition} from '../groups/index.js';

/** What an instance showed to a probe. Times are of the monotonic clock. */
export interface InstanceObservation {
  /** Name of the instance. */
  readonly instance: string;
  /** Role that it claims. */
  readonly role: InstanceRole;
  /** Term in which it has the role. */
  readonly term: number;
  /** Highest term that it has granted. */
  readonly grantedTerm: number;
  /** Last entry of its log. */
  readonly position: LogPosition;
  /** When the probe was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** When its answer arrived, in milliseconds. */
  readonly answeredAtMs: number;
}

/** A position that holds every write acknowledged before a time. */
export interface FreshnessPoint {
  /** The position. */
  readonly position: LogPosition;
  /** Writes acknowledged before this time are at or before the position. */
  readonly provenAtMs: number;
  /** When the position was first seen at the primary, for estimates. */
  readonly seenAtMs: number;
}

/** How far one replica follows behind the primary. */
export interface ReplicaLag {
  /** Smoothed lag, in milliseconds; undefined before the first sample. */
  readonly smoothedMs: number | undefined;
  /** Whether reads have left the replica because it fell behind. */
  readonly isExcluded: boolean;
  /** Since when a replica that was left has kept up again. */
  readonly caughtUpSinceMs: number | undefined;
}

/** What an owner knows of the freshness of a group's instances. */
export interface GroupFreshness {
  /** Term to which everything here belongs. */
  readonly term: number;
  /** The primary of the term. */
  readonly primary: string;
  /** Latest observation of each instance. */
  readonly observations: ReadonlyMap<string, InstanceObservation>;
  /** Proven points, ascending in time and position. */
  readonly points: readonly FreshnessPoint[];
  /** Lag of each replica that was observed. */
  readonly lags: ReadonlyMap<string, ReplicaLag>;
}

/** What has to be known of a group to judge freshness. */
export interface FreshnessParameters {
  /** Number of instances in the group. */
  readonly instanceCount: number;
  /** How old a read may be where the caller states nothing, in milliseconds. */
  readonly allowedAgeMs: number;
}

/** How far an instance is from the proxy that routes. */
export const NetworkDistance = {
  /** The same availability zone. */
  SameZone: 'zone',
  /** Another zone of the same region. */
  SameRegion: 'region',
  /** Another region, over the link that is paid for by volume. */
  PaidLink: 'paid-link',
} as const;

/** One of the distances. */
export type NetworkDistance =
  (typeof NetworkDistance)[keyof typeof NetworkDistance];

/** An instance that could take a read now: it has a usable connection. */
export interface ReadCandidate {
  /** Name of the instance. */
  readonly instance: string;
  /** How far away it is. */
  readonly distance: NetworkDistance;
  /** Time to the instance and back, in milliseconds. */
  readonly roundTripMs: number;
  /** Expected time in the queue, in milliseconds. */
  readonly queueWaitMs: number;
  /** Expected time that the statement runs, in milliseconds. */
  readonly serviceMs: number;
}

/** A read that is to be routed. */
export interface ReadRequest {
  /** What the session has seen, in the log of the present term. */
  readonly minimumPosition: LogPosition;
  /** How old the data may be, in milliseconds. */
  readonly allowedAgeMs: number;
  /** When the answer becomes useless, in milliseconds. */
  readonly deadlineAtMs: number;
  /** How long the read has already waited for a position, in milliseconds. */
  readonly waitedMs: number;
}

/** Where a read goes. */
export type ReadDecision =
  RunReadDecision | WaitReadDecision | RefuseReadDecision;

/** The read goes to an instance now. */
export interface RunReadDecision {
  readonly action: 'run';
  readonly instance: string;
  readonly role: InstanceRole;
  /** The instance must refuse the read while it is behind this. */
  readonly minimumPosition: LogPosition;
  /**
   * For the primary: no majority may have granted a higher term before this
   * time, in milliseconds. Confirmed before the answer is given.
   */
  readonly leaderSinceMs?: number;
}

/** The read waits and is then decided again. */
export interface WaitReadDecision {
  readonly action: 'wait';
  /** How long, in milliseconds. */
  readonly waitMs: number;
}

/** The read is refused. */
export interface RefuseReadDecision {
  readonly action: 'refuse';
  readonly reason: 'no-fresh-replica' | 'no-connection' | 'deadline';
  /** When a qualifying instance is expected, in milliseconds from now. */
  readonly expectedInMs: number;
}
