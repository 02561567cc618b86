import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {ReplicationReport, PromotionCandidate} from './types.js';

/** Next action in a change of primary. */
export type TargetChoice =
  | {
      readonly kind: 'promote';
      readonly target: string;
      /** Position of the target; includes every acknowledged commit. */
      readonly position: LogPosition;
    }
  | {readonly kind: 'wait'; readonly reason: string};

/** Inputs for the choice of a target. */
export interface TargetInputs {
  /**
   * Replicas that have not been removed from the directory. After a promotion
   * order they include the old primary, because it may have become a replica.
   */
  readonly replicas: readonly PromotionCandidate[];
  /** Report of the old primary after it stepped down, if it did. */
  readonly oldPrimary: ReplicationReport | undefined;
  /** Whether commits wait for a replica; without it any commit may be lost. */
  readonly hasSynchronousReplication: boolean;
  /** Whether a promotion was ordered since the term of the old primary. */
  readonly wasPromotionOrdered?: boolean | undefined;
}

/**
 * Chooses the instance to promote.
 *
 * An acknowledged commit is on the old primary and on at least one replica. If
 * every replica has reported, the one with the highest position has all of
 * them. If a replica is unreachable, it may be the only replica with a commit.
 * A target is then safe only if the old primary has stepped down and the target
 * has every entry that the old primary had.
 *
 * After a promotion order, the ordered instance may have acknowledged commits
 * together with any other instance, including the old primary. All of them must
 * then report, because a promotion that takes effect late ends the term hold of
 * the others.
 *
 * @param inputs - Reports of the instances, and the state of the change.
 * @returns The target, or the reason why the change has to wait.
 */
export function chooseTarget(inputs: TargetInputs): TargetChoice {
  const reported = inputs.replicas.filter(hasReport);
  const best = mostAdvancedCandidate(reported);
  if (best === undefined) return waitChoice('no replica has reported');
  if (reported.length === inputs.replicas.length) return promoteChoice(best);
  if (!inputs.hasSynchronousReplication) return promoteChoice(best);
  if (inputs.wasPromotionOrdered === true) {
    return waitChoice(
      'an instance that may have been primary or replica is unreachable',
    );
  }
  const oldPrimary = inputs.oldPrimary;
  if (oldPrimary === undefined) return waitChoice('a replica is unreachable');
  const hasEveryEntry =
    comparePositions(best.report.received, oldPrimary.received) >= 0;
  if (hasEveryEntry) return promoteChoice(best);
  return waitChoice('a commit may exist only on the unreachable replica');
}

/** A candidate whose report has arrived. */
type ReportedCandidate = PromotionCandidate & {
  readonly report: ReplicationReport;
};

function hasReport(
  candidate: PromotionCandidate,
): candidate is ReportedCandidate {
  return candidate.report !== undefined;
}

/** Returns the highest position; on a tie, an instance that is not leaving. */
function mostAdvancedCandidate(
  candidates: readonly ReportedCandidate[],
): ReportedCandidate | undefined {
  return [...candidates].sort(
    (left, right) =>
      comparePositions(right.report.received, left.report.received) ||
      Number(left.isLeaving) - Number(right.isLeaving) ||
      (left.id < right.id ? -1 : 1),
  )[0];
}

function promoteChoice({id, report}: ReportedCandidate): TargetChoice {
  return {kind: 'promote', target: id, position: report.received};
}

function waitChoice(reason: string): TargetChoice {
  return {kind: 'wait', reason};
}
