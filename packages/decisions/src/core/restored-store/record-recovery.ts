import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {
  Incarnation,
  PrimaryRecord,
  PromotionCandidate,
  ReplicationReport,
} from '../primary-change/index.js';
import {higherPosition, PrimaryPhase} from '../primary-change/index.js';

/**
 * How long a decision waits for instances that have not reported, or do not yet
 * follow the leader, in milliseconds.
 */
export const MAXIMUM_RECOVERY_WAIT_MS = 8_000;

/**
 * How long a decision waits for instances that report and could follow the
 * leader, in milliseconds. A former primary follows within a second if it can
 * reach the leader.
 */
export const LATE_INSTANCE_WAIT_MS = 3_000;

/** A listed instance of a group whose record is to be recovered. */
export interface RecoveryCandidate extends PromotionCandidate {
  /** Its incarnation, if it is known. */
  readonly bornAtMs?: Incarnation;
  /**
   * Whether the instance has started so recently that it may have been held, for
   * an order that can still take effect, before it started. A start ends a hold.
   */
  readonly mayHaveLostHold?: boolean | undefined;
  /**
   * Whether proxies send it no statements as primary any more, because it has
   * been leaving for too long.
   */
  readonly isWithheld?: boolean | undefined;
}

/** What is known of a group after the store was restored. */
export interface RecordRecoveryInputs {
  /** The record in the restored store. */
  readonly restored: PrimaryRecord | undefined;
  /** The newest record that this process received before the restore. */
  readonly remembered: PrimaryRecord | undefined;
  /** All instances in the directory, which has settled since the restore. */
  readonly instances: readonly RecoveryCandidate[];
  /** How long the decision has been waiting, in milliseconds. */
  readonly waitedMs: number;
  /**
   * How long an order of an earlier generation of the store may still arrive
   * after the decision began to wait, in milliseconds.
   */
  readonly orderPendingMs: number;
}

/** What to do with the record of a group after the store was restored. */
export type RecordRecovery =
  | {
      readonly kind: 'confirm';
      /** The instance to record as the primary of its term. */
      readonly leader: ReplicationReport;
      /**
       * Position to record as the start of its term. It includes every commit
       * acknowledged so far, also those of an instance that confirmed them and
       * left, or lost its log, while no record named the term.
       */
      readonly initialPosition: LogPosition;
    }
  | {readonly kind: 'wait'; readonly reason: string}
  | {
      readonly kind: 'change';
      /** Record from which a change of primary begins. */
      readonly record: PrimaryRecord;
    };

/**
 * Decides what the coordinator of a new generation of the store does with a
 * primary record that was written in an earlier generation, or is missing.
 *
 * An order of promotion may be under way although no record that is left says
 * so. Before any order, every replica that could hold a commit was held, or the
 * old primary had stepped down. A leader whose followers are all present and not
 * held therefore rules out an order, and its record is written again. A start
 * ends a hold and may undo a step-down, so this takes the word of the leader and
 * of one follower that have both been running for long enough.
 *
 * Otherwise the change that may have been lost is assumed: the primary is
 * replaced as after an order whose end nobody saw. That takes the primary out of
 * use, so instances that are silent or late get some time first, as long as one
 * follower proves that the leader can be used meanwhile, and it is not withheld.
 * An instance that is only late does not cost such a leader its place: it may be
 * a former primary that is partitioned from the others.
 *
 * A leaving replica is held while its group is steady, for the term after that
 * of the leader. The same hold precedes an order to promote it, so it proves
 * nothing until every order of an earlier generation has arrived. A leader that
 * is in use keeps its place meanwhile.
 *
 * @param inputs - The records that are left, and the reports of the instances.
 * @returns The action, with the record that it needs.
 */
export function decideRecordRecovery(
  inputs: RecordRecoveryInputs,
): RecordRecovery {
  const {instances, waitedMs} = inputs;
  if (instances.length === 0) return waitRecovery('no instance is listed');
  const evidence = gatherEvidence(inputs);
  const {records, reports, leader} = evidence;
  if (records.length === 0 && reports.length === 0) {
    return waitRecovery('there is no record, and no instance has reported');
  }
  const isTimeLeft = waitedMs < MAXIMUM_RECOVERY_WAIT_MS;
  if (leader !== undefined) {
    const missing = missingProof(instances, leader);
    const isFollowed = reports.some(each => isFollower(each, leader.term));
    const isInUse = isFollowed && !isWithheld(instances, leader);
    const isLateTimeOver = waitedMs >= LATE_INSTANCE_WAIT_MS;
    const isProven =
      missing === undefined ||
      (isInUse && isLateTimeOver && areOthersUninvolved(instances, leader));
    const pending = pendingHolds(inputs, leader);
    if (isProven && pending === undefined) return confirmRecovery(leader);
    if (isProven && isInUse && pending !== undefined)
      return waitRecovery(pending);
    if (isInUse && isTimeLeft && missing !== undefined)
      return waitRecovery(missing);
  }
  const primary = lastKnownPrimary(evidence);
  // The primary of a group that was created in the lost seconds may be late.
  if (primary === undefined && isTimeLeft) {
    return waitRecovery('there is no record, and no instance leads');
  }
  return changeRecovery(
    evidence,
    primary ?? mostAdvanced(reports),
    isOrderUnlikely(evidence, instances),
  );
}

/** What the records and reports say together. */
interface Evidence {
  /** The records that are left, the newest first. */
  readonly records: readonly PrimaryRecord[];
  readonly reports: readonly ReplicationReport[];
  /** Highest term of any record or report. */
  readonly term: number;
  /** Highest term at which an instance is held, also if it may be held because it leaves. */
  readonly heldTerm: number;
  /**
   * The only leader of the highest term, unless a record or a hold shows that
   * another instance may lead a higher one. A leaving replica may be held for
   * the next term without that.
   */
  readonly leader: ReplicationReport | undefined;
}

function gatherEvidence({
  restored,
  remembered,
  instances,
}: RecordRecoveryInputs): Evidence {
  const records = [remembered, restored]
    .filter(record => record !== undefined)
    .sort(
      (left, right) =>
        right.term - left.term || ordersOf(right) - ordersOf(left),
    );
  const reports = instances
    .map(({report}) => report)
    .filter(report => report !== undefined);
  const term = Math.max(0, ...[...records, ...reports].map(each => each.term));
  const heldTerm = Math.max(0, ...reports.map(each => each.heldTerm));
  const leaders = reports.filter(each => each.isPrimary && each.term === term);
  const orderedTerm = Math.max(
    0,
    ...records.map(record => record.term + ordersOf(record)),
  );
  const isHeldForOrder = instances.some(
    each =>
      each.report !== undefined &&
      each.report.heldTerm > term &&
      !mayBeHeldAsLeaving(each, term),
  );
  const isOrderPossible = orderedTerm > term || isHeldForOrder;
  const leader =
    leaders.length === 1 && !isOrderPossible ? leaders[0] : undefined;
  return {records, reports, term, heldTerm, leader};
}

function isWithheld(
  instances: readonly RecoveryCandidate[],
  {id: leader}: ReplicationReport,
): boolean {
  return instances.some(each => each.id === leader && each.isWithheld === true);
}

/** Returns whether an instance follows a term and is not held at a higher one. */
function isFollower(report: ReplicationReport, term: number): boolean {
  return !report.isPrimary && report.term === term && report.heldTerm <= term;
}

/**
 * Returns whether an instance is held as the coordinator of a steady group holds
 * a leaving replica, so that it confirms no commits of a term.
 */
function mayBeHeldAsLeaving(
  {isLeaving, report}: RecoveryCandidate,
  term: number,
): boolean {
  return (
    isLeaving &&
    report !== undefined &&
    !report.isPrimary &&
    report.term <= term &&
    report.heldTerm === term + 1
  );
}

/** Returns why leaving replicas that are held may yet be promoted; undefined if none may be. */
function pendingHolds(
  {instances, waitedMs, orderPendingMs}: RecordRecoveryInputs,
  {term}: ReplicationReport,
): string | undefined {
  if (waitedMs >= orderPendingMs) return undefined;
  const held = instances.filter(each => mayBeHeldAsLeaving(each, term));
  if (held.length === 0) return undefined;
  const names = held.map(({id}) => id).join(' ');
  return `leaving replicas may be held for an order: ${names}`;
}

/** Returns what is missing to rule out an order; undefined if nothing is. */
function missingProof(
  instances: readonly RecoveryCandidate[],
  {id: leader, term}: ReplicationReport,
): string | undefined {
  const others = instances.filter(({id}) => id !== leader);
  const late = others.filter(
    each =>
      each.report === undefined ||
      !(isFollower(each.report, term) || mayBeHeldAsLeaving(each, term)),
  );
  if (late.length > 0) {
    const names = late.map(({id}) => id).join(' ');
    return `instances do not follow ${leader} in term ${term}: ${names}`;
  }
  return hasProvenFollower(instances, leader, term)
    ? undefined
    : `${leader} or all that follow it may have started after they were held`;
}

/** Returns whether the leader and one follower have been running for long enough. */
function hasProvenFollower(
  instances: readonly RecoveryCandidate[],
  leader: string,
  term: number,
): boolean {
  const proven = instances.filter(({mayHaveLostHold}) => !mayHaveLostHold);
  const isLeaderProven = proven.some(({id}) => id === leader);
  const isFollowerProven = proven.some(
    ({report}) => report !== undefined && isFollower(report, term),
  );
  return isLeaderProven && isFollowerProven;
}

/**
 * Returns whether no instance can be the target of an order that may still take
 * effect, although some do not follow the leader.
 *
 * The target of an order was held for its term, or was the primary and stepped
 * down, and so was every replica that could hold a commit. An instance that has
 * been running for long enough, is in an earlier term and is not held for the
 * term of the leader or a later one is therefore no target of an order of that
 * term. A leaving replica that is held counts once no order can arrive any more.
 */
function areOthersUninvolved(
  instances: readonly RecoveryCandidate[],
  {id: leader, term}: ReplicationReport,
): boolean {
  const isUninvolved = (candidate: RecoveryCandidate): boolean => {
    const {id, report, mayHaveLostHold} = candidate;
    if (report === undefined) return false;
    if (id === leader || isFollower(report, term)) return true;
    if (mayBeHeldAsLeaving(candidate, term)) return true;
    const isInEarlierTerm = report.term < term && report.heldTerm < term;
    return isInEarlierTerm && mayHaveLostHold !== true;
  };
  return (
    instances.every(isUninvolved) && hasProvenFollower(instances, leader, term)
  );
}

function confirmRecovery(leader: ReplicationReport): RecordRecovery {
  return {kind: 'confirm', leader, initialPosition: leader.received};
}

function waitRecovery(reason: string): RecordRecovery {
  return {kind: 'wait', reason};
}

/** Returns the primary of the highest term, or the last one that is known. */
function lastKnownPrimary({
  records,
  reports,
  term,
}: Evidence): string | undefined {
  const [newest] = records;
  if (newest?.term === term) return newest.primary;
  const leader = reports.find(each => each.isPrimary && each.term === term);
  return leader?.id ?? newest?.primary;
}

function mostAdvanced(reports: readonly ReplicationReport[]): string {
  return [...reports].sort(
    (left, right) =>
      comparePositions(right.received, left.received) ||
      (left.id < right.id ? -1 : 1),
  )[0]!.id;
}

/**
 * Returns whether nothing but the loss of records speaks for an order, and a
 * replica that had to be held for it was not.
 */
function isOrderUnlikely(
  {records, term, heldTerm}: Evidence,
  instances: readonly RecoveryCandidate[],
): boolean {
  const [newest] = records;
  const isSteady = records.every(({phase}) => phase === PrimaryPhase.Steady);
  if (newest?.term !== term || !isSteady || heldTerm > term) return false;
  // One that joined or started since may not have been there to be held.
  const isRecorded = ({id, bornAtMs}: RecoveryCandidate): boolean =>
    bornAtMs !== undefined &&
    newest.confirmers?.instances.some(
      each => each.id === id && each.bornAtMs === bornAtMs,
    ) === true;
  return instances.some(
    each =>
      each.report !== undefined &&
      isFollower(each.report, term) &&
      each.mayHaveLostHold !== true &&
      !each.isLeaving &&
      isRecorded(each),
  );
}

function changeRecovery(
  {records, term, heldTerm}: Evidence,
  primary: string,
  isOrderAssumed: boolean,
): RecordRecovery {
  const [newest] = records;
  const orders = 1 + Math.max(0, ...records.map(ordersOf));
  return {
    kind: 'change',
    record: {
      term,
      primary,
      phase: PrimaryPhase.Changing,
      // Instances have to be held above every term at which they are held.
      orders: Math.max(orders, heldTerm - term),
      // The start of an earlier term is still a lower bound of acknowledged commits.
      initialPosition: records
        .map(({initialPosition}) => initialPosition)
        .reduce(higherPosition, undefined),
      ...(isOrderAssumed && {
        isOrderAssumed,
        primaryBornAtMs: newest?.primaryBornAtMs,
      }),
    },
  };
}

function ordersOf({orders}: PrimaryRecord): number {
  return orders ?? 0;
}
