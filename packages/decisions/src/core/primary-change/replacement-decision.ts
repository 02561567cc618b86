/** Tally of the proxies that suspect a primary. */
export interface SuspicionTally {
  /** Number of live proxies, including this one. */
  readonly members: number;
  /** Number of proxies, possibly including this one, that cannot use it. */
  readonly suspectingMembers: number;
  /** Whether the entry of the primary was removed from the directory. */
  readonly isPrimaryRemoved: boolean;
}

/**
 * Decides whether a primary is replaced.
 *
 * One proxy may be cut off from a primary that serves all others, so a majority
 * of the proxies must agree. An instance that was removed from the directory is
 * replaced at once.
 *
 * @param tally - The tally of the proxies.
 * @returns Whether to begin a change of primary.
 */
export function shouldReplacePrimary(tally: SuspicionTally): boolean {
  if (tally.isPrimaryRemoved) return true;
  return tally.suspectingMembers * 2 > tally.members;
}

/** Fewest other instances that are needed to commit without the primary: a new primary and a replica that confirms. */
const MINIMUM_OTHER_INSTANCES = 2;

/**
 * Decides whether another primary could commit where the present one cannot.
 *
 * A primary that answers but gets no commit confirmed either has lost its links
 * to healthy replicas, or its replicas receive nothing. Replacing it helps only
 * if two other instances remain: one to lead, and one to confirm its commits.
 *
 * @param otherInstances - Number of other instances of the group that answer.
 * @returns Whether a primary without confirmed commits should be suspected.
 */
export function canAnotherPrimaryCommit(otherInstances: number): boolean {
  return otherInstances >= MINIMUM_OTHER_INSTANCES;
}
