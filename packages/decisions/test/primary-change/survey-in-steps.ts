import type {
  DepartedInstances,
  GroupInstance,
  PresentInstance,
  PromotionCandidate,
  ReplicationReport,
  TargetInputs,
} from '../../src/index.js';
import {
  comparePositions,
  HeldReports,
  higherPosition,
  reportInTerm,
} from '../../src/index.js';
import type {
  ChangeRules,
  Dice,
  RecordStore,
  StepRecord,
} from './change-rules.js';
import {REGISTRATION_STEPS} from './change-rules.js';
import type {InstancesInSteps} from './instances-in-steps.js';

/** Probability that an instance which is reached answers within a step. */
const ANSWER_PROBABILITY = 0.8;

/** What a survey acts on and adheres to. */
export interface SurveyContext {
  readonly rules: ChangeRules;
  readonly dice: Dice;
  readonly store: RecordStore;
  readonly instances: InstancesInSteps;
}

/** Reports of replicas, and of an old primary that was not ordered to lead. */
class SurveyReports {
  readonly replicas = new HeldReports();
  readonly oldPrimary = new HeldReports();

  clear(): void {
    this.replicas.clear();
    this.oldPrimary.clear();
  }
}

/** The holds that end the views of a primary, and the survey after that. */
export class SurveyInSteps {
  /** When an instance was held last to end the views. */
  lastHeldAt = 0;
  /** When an instance reported last in the survey. */
  lastReportAt = 0;
  /** Whether a hold has ended on which the end of the views rests. */
  hasHoldEnded = false;
  private hasBegun = false;
  private readonly before = new SurveyReports();
  private readonly after = new SurveyReports();
  /** When each instance was held to end the views. */
  private readonly heldAt = new Map<string, number>();
  private listBefore: readonly PresentInstance[] = [];

  constructor(
    private readonly context: SurveyContext,
    private readonly departed: DepartedInstances,
  ) {}

  /** Requires all instances to be held anew before the views can end. */
  restart(listed: readonly PresentInstance[], now: number): void {
    this.hasBegun = false;
    this.hasHoldEnded = false;
    this.before.clear();
    this.after.clear();
    this.listBefore = listed;
    this.lastHeldAt = now;
  }

  /** Begins to ask, because the views have ended. */
  begin(): void {
    this.hasBegun = true;
    this.after.clear();
  }

  /** Holds the instances that have to be held so that the views end. */
  hold(listed: readonly PresentInstance[], now: number): void {
    const hasHeld = this.askAll(listed, this.before, now).hasAnswered;
    if (hasHeld) this.lastHeldAt = now;
  }

  /** Whether the primary has stepped down, or every replica is held. */
  areAllHeld(listed: readonly PresentInstance[]): boolean {
    const {primary} = this.record;
    const {replicas, oldPrimary} = this.before;
    const hasSteppedDown =
      this.orderCount === 0 && oldPrimary.find(primary) !== undefined;
    return (
      hasSteppedDown ||
      this.replicasAmong(listed).every(({id, bornAtMs}) =>
        replicas.isHeld(id, bornAtMs),
      )
    );
  }

  /**
   * Holds the instances that have not reported since the views ended.
   *
   * @returns The report of an instance that leads a term which the change cannot
   *   end, if there is one.
   */
  ask(
    listed: readonly PresentInstance[],
    now: number,
  ): ReplicationReport | undefined {
    if (!this.context.rules.asksAfterViewsEnded) {
      return this.askAll(listed, this.before, now).leader;
    }
    this.observeRestarts(listed);
    const {hasAnswered, leader} = this.askAll(
      this.asked(listed),
      this.after,
      now,
    );
    if (hasAnswered) this.lastReportAt = now;
    return leader;
  }

  /**
   * Begins the survey anew if an instance has restarted: what it reported under
   * its earlier incarnation may be what the present one has.
   */
  observeRestarts(listed: readonly PresentInstance[]): void {
    const hasRestarted = this.asked(listed).some(({id, bornAtMs}) =>
      [this.after.replicas, this.after.oldPrimary].some(
        reports =>
          reports.find(id) !== undefined && !reports.isHeld(id, bornAtMs),
      ),
    );
    if (hasRestarted && this.context.rules.asksAgainAfterRestarts)
      this.after.clear();
  }

  /**
   * Handles the present list.
   *
   * @returns Whether every replica on it has reported all that it can have confirmed.
   */
  settle(
    listed: readonly PresentInstance[],
    viewsEndedAt: number,
    now: number,
  ): boolean {
    const {settlesByLateLists} = this.context.rules;
    const {replicas} = this.after;
    const asked = this.replicasAmong(listed);
    replicas.settle(
      asked,
      viewsEndedAt,
      time => !settlesByLateLists || now - time >= REGISTRATION_STEPS,
    );
    return asked.every(({id}) => replicas.isSettled(id));
  }

  /**
   * Handles a list that was read just now: reports are of the starts that it still
   * has late enough after them.
   */
  attribute(listed: readonly GroupInstance[], now: number): void {
    const {attributesByLateLists} = this.context.rules;
    for (const {replicas} of [this.before, this.after])
      replicas.settle(
        listed,
        Infinity,
        time => !attributesByLateLists || now - time >= REGISTRATION_STEPS,
      );
  }

  /** Asks a target once more; the survey begins anew if it is not as it was. */
  confirm(target: string): boolean {
    const isOldPrimary = target === this.record.primary && !this.orderCount;
    const {counted} = this;
    const kept = isOldPrimary ? counted.oldPrimary : counted.replicas;
    const previous = kept.find(target);
    const report = this.stop(target, isOldPrimary);
    if (report === undefined) return false;
    const isSame =
      !report.isPrimary &&
      report.term === previous?.term &&
      comparePositions(report.received, previous.received) === 0;
    if (!isSame) counted.clear();
    return isSame;
  }

  /**
   * Asks the instances with empty logs once more: one that is not held any more may
   * have started twice, and the list never had the start that reported.
   *
   * @returns Whether each one is held still.
   */
  confirmEmptyLogs(listed: readonly PresentInstance[], now: number): boolean {
    if (!this.context.rules.confirmsEmptyLogs) return true;
    const {replicas} = this.counted;
    return this.replicasAmong(listed)
      .filter(({id}) => replicas.find(id)?.received.position === 0)
      .map(({id, bornAtMs}) => {
        this.interruptHold(replicas, id, bornAtMs);
        const report = this.stop(id, false);
        if (report === undefined || report.isPrimary) return false;
        const isHeld = replicas.confirm(report, bornAtMs, now);
        if (!isHeld) this.lastReportAt = now;
        return isHeld;
      })
      .every(isHeld => isHeld);
  }

  /** Whether an instance has reported as a held replica. */
  hasReported(id: string): boolean {
    return (
      this.before.replicas.find(id) !== undefined ||
      this.after.replicas.find(id) !== undefined
    );
  }

  /** Returns what the choice of a target depends on. */
  inputs(listed: readonly PresentInstance[], now: number): TargetInputs {
    const {departed, record, before, after, counted} = this;
    const asked = this.asked(listed);
    const old = asked.find(({id}) => id === record.primary);
    return {
      replicas: this.replicasAmong(asked).map(each =>
        this.candidateOf(each, 'replicas'),
      ),
      oldPrimary: old && this.candidateOf(old, 'oldPrimary'),
      mayOldPrimaryReport: old !== undefined,
      hasSynchronousReplication: true,
      wasPromotionOrdered: this.orderCount > 0,
      orderedTarget: record.target,
      minimumPosition: [
        departed.bound,
        before.replicas.highestPosition,
        after.replicas.highestPosition,
      ].reduce(higherPosition, record.initialPosition),
      unverifiedDepartures: departed.unbounded
        .filter(each => !counted.replicas.hasReported(each))
        .map(({id}) => id),
      mayReturn: departed.mayReturn(now).map(each => ({
        ...each,
        isBounded: each.isBounded || counted.replicas.hasReported(each),
      })),
    };
  }

  /** The reports from which a target is chosen. */
  private get counted(): SurveyReports {
    const {asksAfterViewsEnded} = this.context.rules;
    return asksAfterViewsEnded ? this.after : this.before;
  }

  private get record(): StepRecord {
    return this.context.store.record;
  }

  private get orderCount(): number {
    return this.record.orders ?? 0;
  }

  /** The instances that a survey asks. */
  private asked(
    listed: readonly PresentInstance[],
  ): readonly PresentInstance[] {
    const {listsAfterViewsEnded} = this.context.rules;
    return listsAfterViewsEnded ? listed : this.listBefore;
  }

  private replicasAmong(
    listed: readonly PresentInstance[],
  ): readonly PresentInstance[] {
    if (this.orderCount > 0) return listed;
    return listed.filter(({id}) => id !== this.record.primary);
  }

  private candidateOf(
    {id, bornAtMs, isLeaving}: PresentInstance,
    kind: keyof Pick<SurveyReports, 'replicas' | 'oldPrimary'>,
  ): PromotionCandidate {
    const {awaitsSilentInstances} = this.context.rules;
    const counted = this.counted[kind];
    const before = this.before[kind];
    const isSilent = !counted.isHeld(id, bornAtMs);
    const reports = isSilent && !awaitsSilentInstances ? before : counted;
    const isCounted = reports.isHeld(id, bornAtMs) || this.isSettled(id);
    const report = isCounted ? reports.find(id) : undefined;
    return {id, isLeaving, report};
  }

  private isSettled(id: string): boolean {
    const {settlesEachInstance, countsSettledRestarts} = this.context.rules;
    const isSettled = this.after.replicas.isSettled(id);
    return settlesEachInstance && (isSettled || !countsSettledRestarts);
  }

  /** Holds or steps down the instances that have not reported. */
  private askAll(
    listed: readonly PresentInstance[],
    reports: SurveyReports,
    now: number,
  ): {
    readonly hasAnswered: boolean;
    readonly leader: ReplicationReport | undefined;
  } {
    let hasAnswered = false;
    let leader: ReplicationReport | undefined;
    for (const {id, bornAtMs} of listed) {
      const isOldPrimary = id === this.record.primary && this.orderCount === 0;
      const kept = isOldPrimary ? reports.oldPrimary : reports.replicas;
      if (kept.isHeld(id, bornAtMs)) continue;
      if (!this.context.dice.chance(ANSWER_PROBABILITY)) continue;
      this.checkHold(id, bornAtMs);
      this.interruptHold(kept, id, bornAtMs);
      const heldSince = this.heldSince(id, bornAtMs, now);
      const report = this.stop(id, isOldPrimary);
      if (report === undefined) continue;
      if (report.isPrimary) {
        leader = report.term >= this.nextTerm ? report : leader;
        continue;
      }
      kept.record(report, bornAtMs, now, heldSince);
      if (!this.context.rules.attributesByLateLists)
        this.attribute([{id, bornAtMs}], now);
      if (reports === this.before) this.heldAt.set(id, now);
      hasAnswered = true;
    }
    return {hasAnswered, leader};
  }

  /** Returns since when an instance is held without interruption. */
  private heldSince(
    id: string,
    bornAtMs: number | undefined,
    now: number,
  ): number {
    const isStanding =
      this.hasBegun &&
      this.before.replicas.isHeld(id, bornAtMs) &&
      (this.context.instances.status(id)?.heldTerm ?? 0) >= this.nextTerm;
    return isStanding ? (this.heldAt.get(id) ?? now) : now;
  }

  /** Notes that the hold of an instance has ended although it has not restarted. */
  private checkHold(id: string, bornAtMs: number | undefined): void {
    const isExpectedToStand =
      this.hasBegun && this.before.replicas.isHeld(id, bornAtMs);
    const report = this.context.instances.status(id);
    if (!isExpectedToStand || report === undefined) return;
    if (report.isPrimary || report.heldTerm < this.nextTerm)
      this.hasHoldEnded = true;
  }

  /** Notes that an instance is not held any more, by a restart or by a late release. */
  private interruptHold(
    reports: HeldReports,
    id: string,
    bornAtMs: number | undefined,
  ): void {
    const {heldTerm = 0} = this.context.instances.status(id) ?? {};
    if (heldTerm < this.nextTerm) reports.interrupt(id, bornAtMs);
  }

  /** Steps an instance down, and holds it unless it is the old primary. */
  private stop(
    id: string,
    isOldPrimary: boolean,
  ): ReplicationReport | undefined {
    const {instances} = this.context;
    const report = instances.stepDown(id, this.nextTerm);
    const held =
      isOldPrimary || report === undefined
        ? report
        : instances.hold(id, this.nextTerm);
    return held && this.context.rules.comparesInTerm
      ? reportInTerm(held, this.record)
      : held;
  }

  /** Lowest term that no order of this change can have begun. */
  private get nextTerm(): number {
    return this.record.term + 1 + this.orderCount;
  }
}
