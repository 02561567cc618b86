import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import {higherPosition} from '../primary-change/index.js';

/** Instances that store an acknowledged commit: the primary and one replica. */
const COMMIT_COPIES = 2;

/** Result of querying the instances of a group. */
export interface CommitUpperBoundInputs {
  /** Latest position received by each instance that answered. */
  readonly received: readonly LogPosition[];
  /** Number of instances that did not answer or were removed and may store commits. */
  readonly missing: number;
  /**
   * Position known to include acknowledged commits whose other copies may be
   * gone, if there is one.
   */
  readonly minimumPosition: LogPosition | undefined;
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
 * the answers includes all of them. That fails for commits whose other copies
 * are gone; an answer has to reach the position that is known to include those.
 *
 * @param inputs - The answers.
 * @returns The position, or undefined if other instances may have more commits.
 */
export function findCommitUpperBound({
  received,
  missing,
  minimumPosition,
  hasSynchronousReplication,
}: CommitUpperBoundInputs): LogPosition | undefined {
  if (!hasSynchronousReplication || missing >= COMMIT_COPIES) return undefined;
  const highest = received.reduce<LogPosition | undefined>(
    higherPosition,
    undefined,
  );
  const isBehind =
    highest !== undefined &&
    minimumPosition !== undefined &&
    comparePositions(highest, minimumPosition) < 0;
  return isBehind ? undefined : highest;
}
