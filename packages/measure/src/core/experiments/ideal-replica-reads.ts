import type {LogEntry} from '@sapphireglade/stand-ins';

/** Read that was answered. */
export interface TimedRead {
  /** Wall clock time at which it was sent, in milliseconds. */
  readonly at: number;
  /** Key of the session's own booking, if there is one. */
  readonly ownKey: string | undefined;
}

/** Actual state of the replicas of a group. */
export interface ReplicaGroundTruth {
  /** Log entries of the primary. */
  readonly entries: readonly LogEntry[];
  /** Lag of each replica, in milliseconds. */
  readonly lags: readonly number[];
  /**
   * Wall clock time since which the replicas have these lags, in milliseconds.
   * They hold all entries written before.
   */
  readonly lagsSince: number;
  readonly allowedAgeMs: number;
}

/**
 * Counts the reads that an ideal router, which has the actual state of the
 * replicas, could have sent to a replica.
 *
 * At time t, a replica with lag L lacks the entries written after t - L. It can
 * serve a read if it holds the session's own booking and all entries that it
 * lacks were written within the allowed age.
 */
export function countIdealReplicaReads(
  reads: readonly TimedRead[],
  {entries, lags, lagsSince, allowedAgeMs}: ReplicaGroundTruth,
): number {
  const commitTimes = entries.map(({committedAt}) => committedAt);
  const commitTimeByKey = new Map(
    entries.flatMap(({changes, committedAt}) =>
      changes.map(({key}) => [key, committedAt] as const),
    ),
  );
  const canServe = ({at, ownKey}: TimedRead, lag: number): boolean => {
    const replicatedUntil = Math.max(at - lag, lagsSince);
    const ownTime =
      ownKey === undefined ? undefined : commitTimeByKey.get(ownKey);
    if (ownTime !== undefined && ownTime > replicatedUntil) return false;
    return !commitTimes.some(
      time => time > replicatedUntil && time < at - allowedAgeMs,
    );
  };
  return reads.filter(read => lags.some(lag => canServe(read, lag))).length;
}
