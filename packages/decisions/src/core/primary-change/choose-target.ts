import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {
  AbsentInstance,
  PromotionCandidate,
  ReplicationReport,
} from './types.js';

/** Next action in a change of primary. */
export type TargetChoice =
  | {
      readonly kind: 'promote';
      readonly target: string;
      /** Position of the target; includes every commit that can still be kept. */
      readonly position: LogPosition;
      /**
       * Why acknowledged commits may be missing on the target. Undefined if the
       * target certainly has all of them.
       */
      readonly unverified?: string;
    }
  | {readonly kind: 'wait'; readonly reason: string};

/** Inputs for the choice of a target. */
export interface TargetInputs {
  /**
   * Replicas that have not been removed from the directory. After a promotion
   * order they include the old primary, because it may have become a replica.
   */
  readonly replicas: readonly PromotionCandidate[];
  /** The old primary after it stepped down, if it did. */
  readonly oldPrimary: PromotionCandidate | undefined;
  /** Whether the old primary is still in the directory, so that it may report later. */
  readonly mayOldPrimaryReport: boolean;
  /** Whether commits wait for a replica; without it any commit may be lost. */
  readonly hasSynchronousReplication: boolean;
  /** Whether a promotion was ordered since the term of the old primary. */
  readonly wasPromotionOrdered: boolean;
  /**
   * Instance whose promotion was ordered last without an observed result. The
   * order may still take effect.
   */
  readonly orderedTarget?: string | undefined;
  /**
   * The old primary, if it has led its term without interruption although
   * {@link wasPromotionOrdered} had to be assumed. It is one of the replicas.
   */
  readonly uninterruptedPrimary?: string | undefined;
  /**
   * Highest position at which a commit is known that may have been acknowledged:
   * the start of the term, or the log of an instance that has lost it since.
   */
  readonly minimumPosition: LogPosition | undefined;
  /**
   * Instances that left the group with their logs during the term, and whose
   * commits are not known to be included in {@link minimumPosition}.
   */
  readonly unverifiedDepartures: readonly string[];
  /**
   * Instances that are not in the directory and may return with their logs,
   * including the old primary.
   */
  readonly mayReturn: readonly AbsentInstance[];
}

/**
 * Chooses the instance to promote.
 *
 * An acknowledged commit is on the old primary, and on at least one replica that
 * received it during the term. Commits of earlier terms are on the old primary,
 * and on the replicas that have reached the start of its term. Two proofs follow
 * that a target has every acknowledged commit:
 *
 * - Every instance that may have confirmed a commit has reported, and the target
 *   has the highest position and has reached the start of the term.
 * - The old primary has stepped down with its log, and the target has every
 *   entry of it. The old primary itself is such a target.
 *
 * After a promotion order, the ordered instance may have acknowledged commits
 * together with any other instance, including the old primary. All of them must
 * then report, because a promotion that takes effect late ends the term hold of
 * the others.
 *
 * If such an order was only assumed, and the old primary shows that it has led
 * without interruption, its log is a proof again. One instance may then be
 * missing: every commit is on two, so all others would show what another leader
 * acknowledged.
 *
 * Of several instances with the highest position, the one is chosen whose
 * promotion was ordered before: if that order takes effect late, it promotes an
 * instance that leads already, and changes nothing.
 *
 * Without a proof the change waits as long as an instance may still report, or
 * may return with a log that the best one may lack. If none can, the best one is
 * promoted, and the choice says what is unverified.
 *
 * @param inputs - Reports of the instances, and the state of the change.
 * @returns The target, or the reason why the change has to wait.
 */
export function chooseTarget(inputs: TargetInputs): TargetChoice {
  const best = mostAdvancedCandidate(
    inputs.replicas.filter(hasReport),
    inputs.orderedTarget,
  );
  if (best !== undefined && !inputs.hasSynchronousReplication) {
    return promoteChoice(best);
  }
  if (best !== undefined && haveAllConfirmersReported(inputs, best)) {
    return promoteChoice(best);
  }
  const oldPrimary = intactOldPrimary(inputs) ?? uninterruptedPrimary(inputs);
  if (oldPrimary !== undefined) {
    return promoteChoice(
      best !== undefined && isAtLeast(best, oldPrimary.report.received)
        ? best
        : oldPrimary,
    );
  }
  const pendingReport =
    reasonToWait(inputs) ?? reasonToAwaitReturn(inputs, best);
  if (pendingReport !== undefined) return waitChoice(pendingReport);
  const remaining = mostAdvancedCandidate(
    [best, reportedOldPrimary(inputs)].filter(hasReport),
    best?.id,
  );
  if (remaining === undefined) return waitChoice('no replica has reported');
  return {
    ...promoteChoice(remaining),
    unverified: describeMissingProof(inputs),
  };
}

/**
 * Returns whether a choice is safe only if the list of instances is complete: an
 * instance that joined and is not listed yet may have confirmed a commit. What
 * the old primary has includes each of them.
 *
 * @param inputs - What the choice was made from.
 * @param choice - The choice.
 */
export function restsOnList(
  inputs: TargetInputs,
  {position}: Extract<TargetChoice, {kind: 'promote'}>,
): boolean {
  if (!inputs.hasSynchronousReplication) return false;
  const oldPrimary = intactOldPrimary(inputs);
  return (
    oldPrimary === undefined ||
    comparePositions(position, oldPrimary.report.received) < 0
  );
}

/** A candidate whose report has arrived. */
type ReportedCandidate = PromotionCandidate & {
  readonly report: ReplicationReport;
};

function hasReport(
  candidate: PromotionCandidate | undefined,
): candidate is ReportedCandidate {
  return candidate?.report !== undefined;
}

/** Returns whether the best candidate is ahead of every instance that may have confirmed a commit. */
function haveAllConfirmersReported(
  inputs: TargetInputs,
  best: ReportedCandidate,
): boolean {
  return (
    inputs.replicas.every(hasReport) &&
    inputs.unverifiedDepartures.length === 0 &&
    isAtLeast(best, inputs.minimumPosition)
  );
}

/** Returns the old primary if its report proves that it has every acknowledged commit. */
function intactOldPrimary(inputs: TargetInputs): ReportedCandidate | undefined {
  const oldPrimary = reportedOldPrimary(inputs);
  return oldPrimary && isAtLeast(oldPrimary, inputs.minimumPosition)
    ? oldPrimary
    : undefined;
}

/** Returns the old primary if it has stepped down and nobody can have led since. */
function reportedOldPrimary({
  oldPrimary,
  wasPromotionOrdered,
}: TargetInputs): ReportedCandidate | undefined {
  return wasPromotionOrdered || !hasReport(oldPrimary) ? undefined : oldPrimary;
}

/** Returns the old primary if no order was given, and at most one instance is missing. */
function uninterruptedPrimary({
  replicas,
  uninterruptedPrimary: id,
  minimumPosition,
  unverifiedDepartures,
  mayReturn,
}: TargetInputs): ReportedCandidate | undefined {
  const reported = replicas.filter(hasReport);
  const primary = reported.find(each => each.id === id);
  const absent = mayReturn.map(({id}) => id);
  const areAllButOneKnown =
    reported.length === replicas.length &&
    unverifiedDepartures.length <= 1 &&
    new Set([...unverifiedDepartures, ...absent]).size <= 1;
  if (primary === undefined || !areAllButOneKnown) return undefined;
  // A log that was lost is empty.
  if (primary.report.received.position === 0) return undefined;
  const isNewest = reported.every(
    ({report}) =>
      !report.isPrimary &&
      report.term <= primary.report.term &&
      isAtLeast(primary, report.received),
  );
  return isNewest && isAtLeast(primary, minimumPosition) ? primary : undefined;
}

/** Returns the reason to wait for a further report, or undefined if none is expected. */
function reasonToWait(inputs: TargetInputs): string | undefined {
  const missing = inputs.replicas.filter(each => !hasReport(each));
  if (missing.length > 0) {
    const names = missing.map(({id}) => id).join(' ');
    return inputs.wasPromotionOrdered
      ? `an instance that may have been primary or replica is unreachable: ${names}`
      : `a commit may exist only on an unreachable replica: ${names}`;
  }
  const isOldPrimaryExpected =
    inputs.mayOldPrimaryReport &&
    !inputs.wasPromotionOrdered &&
    !hasReport(inputs.oldPrimary);
  return isOldPrimaryExpected
    ? `a commit may exist only on the old primary: ${describeMissingProof(inputs)}`
    : undefined;
}

/**
 * Returns the reason to wait for an absent instance, or undefined if none is
 * expected to return with a commit that the best candidate lacks.
 */
function reasonToAwaitReturn(
  {mayReturn, minimumPosition}: TargetInputs,
  best: ReportedCandidate | undefined,
): string | undefined {
  const isBehind = best === undefined || !isAtLeast(best, minimumPosition);
  const awaited = mayReturn.filter(({isBounded}) => isBehind || !isBounded);
  if (awaited.length === 0) return undefined;
  const names = awaited.map(({id}) => id).join(' ');
  return `a commit may exist only on an absent instance that may return: ${names}`;
}

function describeMissingProof({unverifiedDepartures}: TargetInputs): string {
  return unverifiedDepartures.length > 0
    ? `instances left with their logs: ${unverifiedDepartures.join(' ')}`
    : 'the instances that reported lack a commit that may be acknowledged';
}

/** Returns the highest position among logs of the term, if there is one; on a tie, the instance that was ordered before, then one that is not leaving. */
function mostAdvancedCandidate(
  candidates: readonly ReportedCandidate[],
  orderedTarget: string | undefined,
): ReportedCandidate | undefined {
  return [...candidates].sort(
    (left, right) =>
      Number(left.report.hasLeftTerm === true) -
        Number(right.report.hasLeftTerm === true) ||
      comparePositions(right.report.received, left.report.received) ||
      Number(right.id === orderedTarget) - Number(left.id === orderedTarget) ||
      Number(left.isLeaving) - Number(right.isLeaving) ||
      (left.id < right.id ? -1 : 1),
  )[0];
}

function isAtLeast(
  {report}: ReportedCandidate,
  position: LogPosition | undefined,
): boolean {
  if (report.hasLeftTerm === true) return false;
  return (
    position === undefined || comparePositions(report.received, position) >= 0
  );
}

function promoteChoice({
  id,
  report,
}: ReportedCandidate): Extract<TargetChoice, {kind: 'promote'}> {
  return {kind: 'promote', target: id, position: report.received};
}

function waitChoice(reason: string): TargetChoice {
  return {kind: 'wait', reason};
}
