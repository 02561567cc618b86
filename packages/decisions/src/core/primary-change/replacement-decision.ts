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
