import type {
  PromotionCandidate,
  ReplicationReport,
  TargetInputs,
} from '@sapphireglade/decisions';
import {
  HeldReports,
  higherPosition,
  reportInTerm,
} from '@sapphireglade/decisions';
import type {RegisteredInstance} from '../directory/index.js';
import type {VersionedPrimaryRecord} from '../groups/index.js';
import {REGISTRATION_MS} from '../primary-health/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import {OldPrimarySighting} from './old-primary-sighting.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import type {HoldConfirmation, Survey, ViewsEnd} from './hold-survey.js';
import {ReturnedPrimaries} from './returned-primaries.js';

/** The instances of a group that one change of primary holds or has stepped down, and what they reported. */
export class HeldInstances {
  private readonly replicaReports = new HeldReports();
  /** Kept apart, because the old primary may have entries that no replica confirmed. */
  private readonly oldPrimaryReport = new HeldReports();
  private heldAtMs = steadyNowMs();
  private highestReportedTerm = 0;
  private readonly sighting: OldPrimarySighting;
  private readonly returned: ReturnedPrimaries;
  private confirmation: HoldConfirmation | undefined;
  private viewsEnd: ViewsEnd | undefined;

  /**
   * @param context - Dependencies of the change.
   * @param group - Name of the group.
   * @param orders - Returns the number of promotions that may have been ordered
   *   without a new primary being observed.
   * @param orderedTarget - Returns the instance that was ordered to lead last.
   */
  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: string,
    private readonly orders: () => number,
    private readonly orderedTarget: () => string | undefined,
  ) {
    this.sighting = new OldPrimarySighting(context, orders);
    this.returned = new ReturnedPrimaries(
      context,
      group,
      (instances, command) => this.sendToAll(instances, command),
    );
  }

  /** Report of an instance that leads a term which a hold of this change cannot end, if there is one. */
  get leader(): ReplicationReport | undefined {
    return this.returned.leader;
  }

  /** Who was asked by the last confirmation of the holds, and who answered. */
  get lastConfirmation(): HoldConfirmation | undefined {
    return this.confirmation;
  }

  /** Steady-clock time of the last hold on which the end of the views rests, in milliseconds. */
  get lastHeldAtMs(): number {
    return this.heldAtMs;
  }

  /**
   * Steady-clock time at which the views of the old primary had ended while every
   * replica was held, in milliseconds. No hold that ends later matters to them.
   */
  get viewsEndedAtMs(): number | undefined {
    return this.viewsEnd?.atMs;
  }

  /** Returns every instance that may hold acknowledged commits. The old primary is included only if it may have followed another primary since. */
  replicas({record}: VersionedPrimaryRecord): RegisteredInstance[] {
    const instances = this.context.directory.findByGroup(this.group);
    if (this.wasPromotionOrdered) return instances;
    return instances.filter(({id}) => id !== record.primary);
  }

  /** Whether an instance has reported as a held replica. */
  hasReported(id: string): boolean {
    return this.replicaReports.find(id) !== undefined;
  }

  /** Returns whether an incarnation of an instance is held or stepped down. */
  isHeld({id, bornAtMs}: RegisteredInstance): boolean {
    const reports = [this.replicaReports, this.oldPrimaryReport];
    return reports.some(each => each.isHeld(id, bornAtMs));
  }

  /** Highest term that any instance has reported since every one has to report again. */
  get highestTerm(): number {
    return this.highestReportedTerm;
  }

  /** Sends a command to several instances and returns the reports of those that respond. */
  async sendToAll(
    instances: readonly RegisteredInstance[],
    command: InstanceCommand,
  ): Promise<ReplicationReport[]> {
    const answers = await Promise.all(
      instances.map(each => this.context.control.sendCommand(each, command)),
    );
    const reports = answers.filter(report => report !== undefined);
    const terms = reports.map(({term}) => term);
    this.highestReportedTerm = Math.max(this.highestReportedTerm, ...terms);
    return reports;
  }

  private async send(
    instance: RegisteredInstance,
    command: InstanceCommand,
  ): Promise<ReplicationReport | undefined> {
    const [report] = await this.sendToAll([instance], command);
    return report;
  }

  /** Stops replication on the replicas that are not held and stores their positions. */
  async holdReplicas(known: VersionedPrimaryRecord): Promise<void> {
    const canHoldOldPrimary = await this.sighting.observe(known, each =>
      this.send(each, {kind: CommandKind.Status}),
    );
    const unheld = this.replicas(known).filter(
      ({id, bornAtMs}) =>
        (canHoldOldPrimary || id !== known.record.primary) &&
        !this.replicaReports.isHeld(id, bornAtMs),
    );
    const term = this.nextTerm(known);
    const missing = await this.findLostHolds(known, unheld);
    // An instance that was ordered to lead is not stopped by a hold.
    if (this.wasPromotionOrdered) {
      await this.sendToAll(missing, {kind: CommandKind.StepDown, term});
    }
    const askedAtMs = steadyNowMs();
    const held = await this.sendToAll(missing, {
      kind: CommandKind.HoldTerm,
      term,
    });
    this.returned.recordOtherName(known, held);
    const reports = await this.returned.stepDown(missing, held, term);
    const heldAtMs = steadyNowMs();
    this.onHeld(reports.map(({id}) => id));
    for (const each of reports) {
      const report = reportInTerm(each, known.record);
      const {bornAtMs} = missing.find(({id}) => id === report.id) ?? {};
      this.replicaReports.record(report, bornAtMs, askedAtMs, heldAtMs);
    }
  }

  /** Whether the old primary has stepped down. */
  get hasSteppedDown(): boolean {
    return this.oldPrimaryReport.highestPosition !== undefined;
  }

  /** Steps the old primary down, if it is reachable and has not reported since it started. */
  async stepDownOldPrimary(known: VersionedPrimaryRecord): Promise<void> {
    const old = this.context.directory.find(known.record.primary);
    if (old === undefined) return;
    if (this.oldPrimaryReport.isHeld(old.id, old.bornAtMs)) return;
    const askedAtMs = steadyNowMs();
    const report = await this.send(old, {
      kind: CommandKind.StepDown,
      term: this.nextTerm(known),
    });
    if (report === undefined) return;
    this.oldPrimaryReport.record(report, old.bornAtMs, askedAtMs);
    if (this.viewsEnd === undefined) this.heldAtMs = steadyNowMs();
  }

  /**
   * Holds every listed instance once more and records what it has.
   *
   * What was reported before may be out of date: a promotion that takes effect
   * late, a late release or a restart ends a hold, and an instance that joined
   * was never held.
   *
   * @param known - The record of the change.
   * @param outOfUseAtMs - When no proxy could use the old primary any more if the
   *   holds stood until then, in milliseconds of the steady clock.
   * @returns Whether no view can have been verified since, and nobody can have
   *   confirmed a commit who had not reported.
   */
  async survey(
    known: VersionedPrimaryRecord,
    outOfUseAtMs: number,
  ): Promise<boolean> {
    const {primary} = known.record;
    const term = this.nextTerm(known);
    const old = this.context.directory.find(primary);
    // If an order is only assumed, the old primary is observed before it is held.
    const replicas = this.replicas(known).filter(
      ({id}) => id !== primary || this.hasReported(id),
    );
    const stepsDown = old !== undefined && !this.wasPromotionOrdered;
    const hadReported = this.hasSteppedDown;
    const answering = await this.findLostHolds(known, replicas);
    const [ofReplicas, ofOldPrimary] = await Promise.all([
      this.confirm(known, this.replicaReports, answering, {
        kind: CommandKind.HoldTerm,
        term,
      }),
      this.confirm(known, this.oldPrimaryReport, stepsDown ? [old] : [], {
        kind: CommandKind.StepDown,
        term,
      }),
    ]);
    this.confirmation = {
      asked: [...replicas, ...(stepsDown ? [old] : [])].map(({id}) => id),
      answered: [...ofReplicas.answered, ...ofOldPrimary.answered],
    };
    const areAllHeld =
      ofReplicas.answered.length === replicas.length &&
      ofReplicas.changed.length === 0;
    if (areAllHeld && !this.wasPromotionOrdered)
      this.viewsEnd ??= {atMs: outOfUseAtMs, held: ofReplicas.answered};
    // Another instance has led, and may have ended every hold.
    if (this.highestReportedTerm > known.record.term) this.viewsEnd = undefined;
    // Its first report shows nothing that happened after the views had ended.
    const isFirstReport = !hadReported && this.viewsEnd !== undefined;
    const areHeld = this.onHeld([
      ...ofReplicas.changed,
      ...(isFirstReport ? [] : ofOldPrimary.changed),
    ]);
    // An instance that leads has to be stepped down and held first.
    const isAnyLeading = ofReplicas.isAnyLeading || ofOldPrimary.isAnyLeading;
    if (isAnyLeading) this.clear();
    return areHeld && !isAnyLeading;
  }

  /**
   * Handles that instances were held which had not been, or whose hold had ended.
   *
   * @returns Whether the views of the old primary had ended before.
   */
  private onHeld(ids: readonly string[]): boolean {
    const {held = []} = this.viewsEnd ?? {};
    if (ids.every(id => held.includes(id))) return true;
    this.heldAtMs = steadyNowMs();
    this.viewsEnd = undefined;
    this.replicaReports.unsettle();
    return false;
  }

  /**
   * Handles the present list of the instances.
   *
   * @param known - The record of the change.
   * @param isListedSince - Returns whether the list has every instance that
   *   started before a time of the steady clock, in milliseconds.
   * @returns Whether it has a replica by another start than was held.
   */
  settle(
    known: VersionedPrimaryRecord,
    isListedSince: (timeMs: number) => boolean,
  ): boolean {
    const {replicaReports, viewsEnd} = this;
    const replicas = this.replicas(known);
    replicaReports.settle(replicas, viewsEnd?.atMs ?? Infinity, isListedSince);
    return replicas.some(
      ({id, bornAtMs}) =>
        !replicaReports.isSettled(id) && !replicaReports.isHeld(id, bornAtMs),
    );
  }

  /** Whether the list was read late enough after the report of each replica. */
  isSettled(known: VersionedPrimaryRecord): boolean {
    return this.replicas(known).every(({id}) =>
      this.replicaReports.isSettled(id),
    );
  }

  /**
   * Finds the holds of instances that have ended, by a restart or by a release that
   * arrived late.
   *
   * @returns The instances that may be held again without hiding that a hold has ended.
   */
  private async findLostHolds(
    known: VersionedPrimaryRecord,
    instances: readonly RegisteredInstance[],
  ): Promise<RegisteredInstance[]> {
    const {isDirectoryCurrent} = this.context;
    this.settle(known, timeMs => isDirectoryCurrent(timeMs + REGISTRATION_MS));
    const held = instances.filter(({id}) => this.hasReported(id));
    const reports = await this.sendToAll(held, {kind: CommandKind.Status});
    for (const {id, heldTerm} of reports) {
      const {bornAtMs} = held.find(each => each.id === id) ?? {};
      if (heldTerm < this.nextTerm(known))
        this.replicaReports.interrupt(id, bornAtMs);
    }
    return instances.filter(
      each => !held.includes(each) || reports.some(({id}) => id === each.id),
    );
  }

  /** Sends a command to instances and compares their reports with the last ones. */
  private async confirm(
    {record}: VersionedPrimaryRecord,
    reports: HeldReports,
    instances: readonly RegisteredInstance[],
    command: InstanceCommand,
  ): Promise<Survey> {
    const askedAtMs = steadyNowMs();
    const answers = await this.sendToAll(instances, command);
    const answeredAtMs = steadyNowMs();
    const changed = answers.filter(report => {
      const {bornAtMs} = instances.find(({id}) => id === report.id) ?? {};
      const inTerm = reportInTerm(report, record);
      return !reports.confirm(inTerm, bornAtMs, askedAtMs, answeredAtMs);
    });
    return {
      answered: answers.map(({id}) => id),
      changed: changed.map(({id}) => id),
      isAnyLeading: answers.some(({isPrimary}) => isPrimary),
    };
  }

  /** Requires every instance to report again. */
  clear(): void {
    this.replicaReports.clear();
    this.oldPrimaryReport.clear();
    this.sighting.clear();
    this.viewsEnd = undefined;
  }

  /**
   * Returns what the choice of a target depends on.
   *
   * @param known - The record of the change.
   * @param sinceMs - Time after which an instance must have been asked for its
   *   report to count, in milliseconds of the steady clock.
   */
  targetInputs(
    known: VersionedPrimaryRecord,
    sinceMs = -Infinity,
  ): TargetInputs {
    const {primary, initialPosition} = known.record;
    const {configuration, departures, directory} = this.context;
    const departed = departures.of(this.group);
    const old = directory.find(primary);
    const candidates = this.replicas(known).map(
      ({id, bornAtMs, isLeaving}) => ({
        id,
        isLeaving,
        report: this.replicaReports.isCounted(id, bornAtMs)
          ? this.replicaReports.find(id, sinceMs)
          : undefined,
      }),
    );
    const isReturned = ({id}: PromotionCandidate): boolean =>
      old === undefined &&
      id === this.returned.otherName &&
      !this.wasPromotionOrdered;
    return {
      replicas: candidates.filter(each => !isReturned(each)),
      oldPrimary: old
        ? {
            id: old.id,
            isLeaving: old.isLeaving,
            report: this.oldPrimaryReport.find(old.id, sinceMs),
          }
        : candidates.find(isReturned),
      mayOldPrimaryReport: old !== undefined,
      hasSynchronousReplication:
        configuration.current?.groups.get(this.group)
          ?.hasSynchronousReplication ?? true,
      wasPromotionOrdered: this.wasPromotionOrdered,
      orderedTarget: this.orderedTarget(),
      uninterruptedPrimary: this.sighting.findUninterrupted(
        known,
        incarnation => this.replicaReports.isHeld(primary, incarnation),
      ),
      minimumPosition: [
        departed.bound,
        this.replicaReports.highestPosition,
      ].reduce(higherPosition, initialPosition),
      unverifiedDepartures: departed.unbounded
        .filter(each => !this.replicaReports.hasReported(each))
        .map(({id}) => id),
      mayReturn: departed.mayReturn(steadyNowMs()).map(each => ({
        ...each,
        isBounded: each.isBounded || this.replicaReports.hasReported(each),
      })),
    };
  }

  private get wasPromotionOrdered(): boolean {
    return this.orders() > 0;
  }

  /** Returns the lowest term that no earlier promotion of this change can have started. */
  private nextTerm({record}: VersionedPrimaryRecord): number {
    return record.term + 1 + this.orders();
  }
}
