import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {PrimaryRecord} from './types.js';
import {PrimaryPhase} from './types.js';

/**
 * How long after a planned change began commits are still acknowledged, in
 * milliseconds. The coordinator waits for longer, unless the log of the old
 * primary shows every commit.
 */
export const PLANNED_CHANGE_ACKNOWLEDGEMENT_MS = 1_000;

/** What may be told of a commit that a primary has answered. */
export const CommitVerdict = {
  /** Every later primary has the commit. */
  Kept: 'kept',
  /** It may be dropped, or has been. */
  Unknown: 'unknown',
  /** The records do not say yet. */
  Pending: 'pending',
} as const;

/** A value of {@link CommitVerdict}. */
export type CommitVerdict = (typeof CommitVerdict)[keyof typeof CommitVerdict];

/** What is known when the answer of a commit arrives. */
export interface CommitVerdictInputs {
  /** The instance that answered. */
  readonly primary: string;
  /** Position of its log in the answer; includes the commit. */
  readonly position: LogPosition | undefined;
  /** The newest record that the proxy knows. */
  readonly record: PrimaryRecord | undefined;
  /** Whether the view of the record is valid. */
  readonly isViewValid: boolean;
  /** How long the record has described a change, in milliseconds. */
  readonly changingForMs: number;
}

/**
 * Decides whether a commit may be acknowledged.
 *
 * A change of primary counts on every commit that was acknowledged before the
 * views of the old primary ended. An answer that arrives later may be of a commit
 * that the next primary lacks. Its record says where the term began: a commit of
 * the term before that lies up to there was kept.
 *
 * @param inputs - The answer, and the view of the group.
 * @returns The verdict.
 */
export function commitVerdict(inputs: CommitVerdictInputs): CommitVerdict {
  const {record, position} = inputs;
  if (record === undefined) return CommitVerdict.Pending;
  if (isPrimaryInUse(record, inputs)) return CommitVerdict.Kept;
  const isReplaced =
    record.phase === PrimaryPhase.Steady &&
    position !== undefined &&
    record.term > position.term;
  if (!isReplaced || record.initialPosition === undefined)
    return CommitVerdict.Pending;
  const {initialPosition} = record;
  const isIncluded =
    initialPosition.term === position.term &&
    comparePositions(initialPosition, position) >= 0;
  return isIncluded ? CommitVerdict.Kept : CommitVerdict.Unknown;
}

/** Returns whether no change of primary can have chosen a target yet. */
function isPrimaryInUse(
  record: PrimaryRecord,
  {primary, position, isViewValid, changingForMs}: CommitVerdictInputs,
): boolean {
  const isOfTerm = position === undefined || position.term === record.term;
  if (record.primary !== primary || !isOfTerm || !isViewValid) return false;
  if (record.phase === PrimaryPhase.Steady) return true;
  // The old primary still works, and shows its log when it steps down.
  return (
    record.isPlanned === true &&
    record.target === undefined &&
    (record.orders ?? 0) === 0 &&
    changingForMs < PLANNED_CHANGE_ACKNOWLEDGEMENT_MS
  );
}
