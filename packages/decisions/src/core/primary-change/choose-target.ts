import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {ReplicationReport, PromotionCandidate} from './types.js';

/** What to do next in a change of primary. */
export type TargetChoice =
  | {
      readonly kind: 'promote';
      readonly target: string;
      /** Position of the target; it holds every acknowledged commit. */
      readonly position: LogPosition;
    }
  | {readonly kind: 'wait'; readonly reason: string};

/** What is known when a target is chosen. */
export interface TargetInputs {
  /**
   * Replicas that have not been removed from the directory; once an instance
   * was ordered to lead, the old primary as well, because it may have followed.
   */
  readonly replicas: readonly PromotionCandidate[];
  /** What the old primary said after it stepped down, if it did. */
  readonly oldPrimary: ReplicationReport | undefined;
  /** Whether commits wait for a replica; otherwise any may be lost. */
  readonly hasSynchronousReplication: boolean;
  /** Whether an instance was ordered to lead since the old primary. */
  readonly wasPromotionOrdered?: boolean | undefined;
}

/**
 * Chooses the instance that leads next.
 *
 * An acknowledged commit lies on the old primary and at least one replica. If
 * every replica has reported, the one with the highest position holds them
 * all. If one is out of reach, a commit may lie there alone; then a target is
 * only safe if the old primary itself has stepped down and the target has all
 * that the old primary had.
 *
 * Once an instance was ordered to lead, it may have acknowledged commits with
 * any other one, the old primary included. Then all of them have to report: a
 * late promotion ends the hold of the others.
 *
 * @param inputs - What is known.
 * @returns The target, or why the change has to wait.
 */
export function chooseTarget(inputs: TargetInputs): TargetChoice {
  const reported = inputs.replicas.filter(hasReport);
  const best = mostAdvancedCandidate(reported);
  if (best === undefined) return waitChoice('no replica has reported');
  if (reported.length === inputs.replicas.length) return promoteChoice(best);
  if (!inputs.hasSynchronousReplication) return promoteChoice(best);
  if (inputs.wasPromotionOrdered === true) {
    return waitChoice(
      'an instance that may have led or followed is out of reach',
    );
  }
  const old = inputs.oldPrimary;
  if (old === undefined) return waitChoice('a replica is out of reach');
  const hasAll = comparePositions(best.report.received, old.received) >= 0;
  if (hasAll) return promoteChoice(best);
  return waitChoice(
    'a commit may lie only on the replica that is out of reach',
  );
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

/** The highest position wins; among equals one that stays. */
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
