/** What is known of a replica of a group whose primary is in use. */
export interface ReplicaPresence {
  /** Identifier of the replica. */
  readonly id: string;
  /** Whether it has announced that it leaves. */
  readonly isLeaving: boolean;
  /** Whether its entry is in the directory. */
  readonly isRegistered: boolean;
}

/**
 * Returns the leaving replicas that must not confirm commits.
 *
 * The log of a leaving replica is gone once it has left. A commit that it alone
 * confirmed would then lie on the primary only. As long as another replica
 * stays, commits wait for that one instead.
 *
 * @param replicas - The replicas of the group, without the primary.
 * @returns Their identifiers; none if no registered replica stays, because the
 *   group could not commit at all then.
 */
export function replicasToHold(replicas: readonly ReplicaPresence[]): string[] {
  const doesAnyStay = replicas.some(
    ({isLeaving, isRegistered}) => !isLeaving && isRegistered,
  );
  if (!doesAnyStay) return [];
  return replicas.filter(({isLeaving}) => isLeaving).map(({id}) => id);
}
