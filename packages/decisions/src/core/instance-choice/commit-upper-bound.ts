import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';

/** Instances that store an acknowledged commit: the primary and one replica. */
const COMMIT_COPIES = 2;

/** Result of querying the instances of a group. */
export interface CommitUpperBoundInputs {
  /** Latest position received by each instance that answered. */
  readonly received: readonly LogPosition[];
  /** Number of instances that did not answer or were removed and may store commits. */
  readonly missing: number;
  /** Whether a commit waits for a replica before it is acknowledged. */
  readonly hasSynchronousReplication: boolean;
}

/**
 * Finds a position that includes every commit acknowledged before the instances
 * were queried, without an answer of the primary and without determining which
 * instance is the primary.
 *
 * An acknowledged commit is stored on at least two instances. If fewer than two
 * are missing, at least one that answered has it, so the highest position among
 * the answers includes all of them.
 *
 * @param inputs - The answers.
 * @returns The position, or undefined if other instances may have more commits.
 */
export function findCommitUpperBound({
  received,
  missing,
  hasSynchronousReplication,
}: CommitUpperBoundInputs): LogPosition | undefined {
  if (!hasSynchronousReplication || missing >= COMMIT_COPIES) return undefined;
  return received.reduce<LogPosition | undefined>(
    (highest, position) =>
      highest === undefined || comparePositions(position, highest) > 0
        ? position
        : highest,
    undefined,
  );
}
