import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';

/** Instances that hold an acknowledged commit: its primary and one replica. */
const COMMIT_COPIES = 2;

/** What was found out by asking the instances of a group. */
export interface CommitUpperBoundInputs {
  /** Newest position that each instance had received, of those that answered. */
  readonly received: readonly LogPosition[];
  /** Instances that did not answer, and those that may have left with commits. */
  readonly missing: number;
  /** Whether commits wait for a replica. */
  readonly hasSynchronousReplication: boolean;
}

/**
 * Finds a position that holds every commit acknowledged before the instances
 * were asked, without asking the primary, or knowing which instance leads.
 *
 * An acknowledged commit lies on at least two instances. If fewer than two are
 * missing, at least one of those that answered holds it; so the highest
 * position among the answers holds them all.
 *
 * @param inputs - The answers.
 * @returns The position, or nothing if commits may lie elsewhere.
 */
export function findCommitUpperBound({
  received,
  missing,
  hasSynchronousReplication: isReplicated,
}: CommitUpperBoundInputs): LogPosition | undefined {
  if (!isReplicated || missing >= COMMIT_COPIES) return undefined;
  return received.reduce<LogPosition | undefined>(
    (highest, position) =>
      highest === undefined || comparePositions(position, highest) > 0
        ? position
        : highest,
    undefined,
  );
}
