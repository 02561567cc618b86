/** Distance between the tokens of two generations at the same revision. */
const TOKENS_PER_GENERATION = 2 ** 32;

/**
 * Returns the fencing token of an order that was recorded at a revision.
 *
 * Tokens have to rise although a restore sets the revision back and revisions
 * are given out again. A revision can be of any size: the token rises as long as
 * a restore sets the revision back by less than 2^32.
 *
 * @param generation - Generation of the store in which the order was recorded.
 * @param revision - Revision at which it was recorded.
 * @returns The token.
 * @throws RangeError if the token is not a safe integer.
 */
export function fencingTokenOf(generation: number, revision: number): number {
  const token = generation * TOKENS_PER_GENERATION + revision;
  if (!Number.isSafeInteger(token)) {
    throw new RangeError(
      `Revision ${revision} of generation ${generation} has no fencing token.`,
    );
  }
  return token;
}
