import type {LogEntry} from '@sapphireglade/stand-ins';

/** One answered read. */
export interface TimedRead {
  /** Wall clock when it was sent, in milliseconds. */
  readonly at: number;
  /** Unique column of the session's own booking, if it made one. */
  readonly ownKey: string | undefined;
}

/** What is true of the replicas of a group. */
export interface ReplicaGroundTruth {
  /** Entries of the primary's log. */
  readonly entries: readonly LogEntry[];
  /** Lag of each replica, in milliseconds. */
  readonly lags: readonly number[];
  /** Wall clock since which they lag so; what was written before is there. */
  readonly lagsSince: number;
  readonly allowedAgeMs: number;
}

/**
 * Counts the reads that a router which knows the true state could have given
 * to a replica.
 *
 * A replica with lag L lacks, at time t, the entries written after t - L. It
 * can serve a read if it holds the session's own booking, and if whatever it
 * lacks was written within the allowed age.
 */
export function countIdealReplicaReads(
  reads: readonly TimedRead[],
  {entries, lags, lagsSince, allowedAgeMs}: ReplicaGroundTruth,
): number {
  const times = entries.map(({committedAt}) => committedAt);
  const timeOf = new Map(
    entries.flatMap(({changes, committedAt}) =>
      changes.map(({key}) => [key, committedAt] as const),
    ),
  );
  const canServe = ({at, ownKey}: TimedRead, lag: number): boolean => {
    const presentUntil = Math.max(at - lag, lagsSince);
    const own = ownKey === undefined ? undefined : timeOf.get(ownKey);
    if (own !== undefined && own > presentUntil) return false;
    return !times.some(time => time > presentUntil && time < at - allowedAgeMs);
  };
  return reads.filter(read => lags.some(lag => canServe(read, lag))).length;
}
