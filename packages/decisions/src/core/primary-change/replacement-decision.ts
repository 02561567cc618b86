/** Tally of the proxies that suspect a primary. */
export interface SuspicionTally {
  /** Number of live proxies that can judge it, including this one. */
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

/** What a proxy publishes of the primaries. */
export interface PrimaryJudgements {
  /** Groups whose primary the proxy cannot use. */
  readonly suspects: readonly string[];
  /** Terms of those primaries, in the same order, if it tells. */
  readonly suspectedTerms?: readonly number[] | undefined;
  /** Groups to whose primary the proxy may hold no connection. */
  readonly unobserved?: readonly string[] | undefined;
}

/**
 * Counts who suspects the recorded primary of a group.
 *
 * A proxy that may hold no connection to it has no vote: it would speak for a
 * primary that it never asks. Nor has one that suspects the primary of an earlier
 * term: it has not taken in the record, and says nothing of the present primary.
 *
 * @param group - Name of the group.
 * @param term - Term of the recorded primary.
 * @param judgements - What the owners of the group publish.
 */
export function tallySuspicions(
  group: string,
  term: number,
  judgements: readonly PrimaryJudgements[],
): Omit<SuspicionTally, 'isPrimaryRemoved'> {
  const suspectedTerms = judgements
    .filter(({unobserved = []}) => !unobserved.includes(group))
    .map(each => suspectedTerm(each, group, term));
  const judges = suspectedTerms.filter(
    each => each === undefined || each >= term,
  );
  const suspecting = judges.filter(each => each !== undefined);
  return {members: judges.length, suspectingMembers: suspecting.length};
}

/**
 * Returns the term of the primary of a group that a proxy suspects, if it does;
 * one of an earlier version does not tell and means the recorded one.
 */
function suspectedTerm(
  {suspects, suspectedTerms}: PrimaryJudgements,
  group: string,
  recordedTerm: number,
): number | undefined {
  const index = suspects.indexOf(group);
  return index < 0 ? undefined : (suspectedTerms?.[index] ?? recordedTerm);
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
