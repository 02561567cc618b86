import type {InstanceRole, LogPosition} from '../groups/index.js';

/** State that an instance reported to a probe. Times are monotonic. */
export interface InstanceObservation {
  /** Name of the instance. */
  readonly instance: string;
  /** Role that it reports. */
  readonly role: InstanceRole;
  /** Term in which it has this role. */
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

/** A log position that includes every write acknowledged before a given time. */
export interface FreshnessPoint {
  /** The log position. */
  readonly position: LogPosition;
  /** Writes acknowledged before this time are at or before the position. */
  readonly provenAtMs: number;
  /** When the primary first reported it, in milliseconds; used for estimates. */
  readonly seenAtMs: number;
}

/** Replication lag of one replica. */
export interface ReplicaLag {
  /** Smoothed lag, in milliseconds; undefined before the first sample. */
  readonly smoothedMs: number | undefined;
  /** Whether the replica is excluded from reads because it fell behind. */
  readonly isExcluded: boolean;
  /** Since when an excluded replica has kept up again, in milliseconds. */
  readonly caughtUpSinceMs: number | undefined;
}

/** Freshness of a group's instances as observed by an owner. */
export interface GroupFreshness {
  /** Term that all points and lags belong to. */
  readonly term: number;
  /** The primary of the term. */
  readonly primary: string;
  /** Latest observation of each instance, by name. */
  readonly observations: ReadonlyMap<string, InstanceObservation>;
  /** Freshness points, ascending in time and position. */
  readonly points: readonly FreshnessPoint[];
  /** Lag of each observed replica, by name. */
  readonly lags: ReadonlyMap<string, ReplicaLag>;
}

/** Settings of a group that freshness depends on. */
export interface FreshnessParameters {
  /** Number of instances in the group. */
  readonly instanceCount: number;
  /** Voters of the term; absent if all instances are. */
  readonly voters?: readonly string[];
  /** Maximum age of read data if the caller specifies none, in milliseconds. */
  readonly allowedAgeMs: number;
}

/** Network distance between an instance and the proxy that routes the read. */
export const NetworkDistance = {
  /** The same availability zone. */
  SameZone: 'zone',
  /** Another zone of the same region. */
  SameRegion: 'region',
  /** Another region, over a link that is billed by volume. */
  PaidLink: 'paid-link',
} as const;

/** A value of {@link NetworkDistance}. */
export type NetworkDistance =
  (typeof NetworkDistance)[keyof typeof NetworkDistance];

/** An instance that can serve a read now because it has a usable connection. */
export interface ReadCandidate {
  /** Name of the instance. */
  readonly instance: string;
  /** Distance from this proxy. */
  readonly distance: NetworkDistance;
  /** Network round trip time, in milliseconds. */
  readonly roundTripMs: number;
  /** Expected time in the queue, in milliseconds. */
  readonly queueWaitMs: number;
  /** Expected execution time of the statement, in milliseconds. */
  readonly serviceMs: number;
}

/** Requirements of a read that is to be routed. */
export interface ReadRequest {
  /** Latest position that the session has seen, in the log of the current term. */
  readonly minimumPosition: LogPosition;
  /** Maximum age of the data, in milliseconds. */
  readonly allowedAgeMs: number;
  /** Deadline of the request (monotonic time), in milliseconds. */
  readonly deadlineAtMs: number;
  /** How long the read has already waited for a position, in milliseconds. */
  readonly waitedMs: number;
}

/** Result of routing a read. */
export type ReadDecision =
  RunReadDecision | WaitReadDecision | RefuseReadDecision;

/** The read is sent to an instance now. */
export interface RunReadDecision {
  readonly action: 'run';
  readonly instance: string;
  readonly role: InstanceRole;
  /** The instance must refuse the read while it is behind this position. */
  readonly minimumPosition: LogPosition;
  /**
   * For the primary: time before which no majority may have granted a higher
   * term, in milliseconds. Confirmed before the answer is returned.
   */
  readonly leaderSinceMs?: number;
}

/** The read waits and is then routed again. */
export interface WaitReadDecision {
  readonly action: 'wait';
  /** Duration of the wait, in milliseconds. */
  readonly waitMs: number;
}

/** The read is refused. */
export interface RefuseReadDecision {
  readonly action: 'refuse';
  readonly reason: 'no-fresh-replica' | 'no-connection' | 'deadline';
  /** When a qualifying instance is expected, in milliseconds from now. */
  readonly expectedInMs: number;
}
