import type {LogPosition} from '../groups/index.js';

/** What a process knows of a commit that a primary has answered. */
export interface AnsweredCommitPositions {
  /** A position that the log had reached before the commit was sent; undefined if none is known. */
  readonly before: LogPosition | undefined;
  /** Position of the log in the answer, if it was reported. */
  readonly answered: LogPosition | undefined;
}

/**
 * Returns a position that every log with a commit has reached.
 *
 * A primary numbers its entries in order, so the commit came after all that the
 * log had before it was sent. The position of the answer is no such bound: it may
 * include later entries that nobody has confirmed.
 *
 * @param positions - What is known of a commit that has certainly written.
 * @returns The position; undefined if both are not known to be of one term.
 */
export function leastCommitPosition({
  before,
  answered,
}: AnsweredCommitPositions): LogPosition | undefined {
  if (before === undefined || answered === undefined) return undefined;
  const {term, position} = before;
  // A log that is shorter than before was lost in between.
  return answered.term === term && answered.position > position
    ? {term, position: position + 1}
    : undefined;
}
