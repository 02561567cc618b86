/** What the proxies say of a primary. */
export interface SuspicionTally {
  /** Live proxies, this one included. */
  readonly members: number;
  /** Proxies that cannot use the primary, this one included if so. */
  readonly suspectingMembers: number;
  /** Whether the primary's entry has left the directory. */
  readonly isPrimaryRemoved: boolean;
}

/**
 * Decides whether a primary is given up.
 *
 * One proxy may be cut off from a primary that serves all others, so a
 * majority of the proxies must agree. An instance that has left the directory
 * is given up at once.
 *
 * @param inputs - What the proxies say.
 * @returns Whether a change of primary begins.
 */
export function shouldReplacePrimary(inputs: SuspicionTally): boolean {
  if (inputs.isPrimaryRemoved) return true;
  return inputs.suspectingMembers * 2 > inputs.members;
}
