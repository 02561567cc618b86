import type {
  PrimarySighting,
  PromotionCandidate,
  ReplicationReport,
  TargetInputs,
} from '@sapphireglade/decisions';
import {
  formatPosition,
  hasLedThroughout,
  hasOnlyAssumedOrder,
  HeldReports,
  higherPosition,
  isOldPrimaryByAnotherName,
} from '@sapphireglade/decisions';
import type {RegisteredInstance} from '../directory/index.js';
import type {VersionedPrimaryRecord} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/** The instances of a group that one change of primary holds or has stepped down, and what they reported. */
export class HeldInstances {
  private readonly replicaReports = new HeldReports();
  /** Kept apart, because the old primary may have entries that no replica confirmed. */
  private readonly oldPrimaryReport = new HeldReports();
  private heldAtMs = steadyNowMs();
  private leadingReport: ReplicationReport | undefined;
  /** Name by which the old primary has returned, if it is another one than before. */
  private otherName: string | undefined;
  /** The old primary as it was before this change stepped it down. */
  private sighting: PrimarySighting | undefined;
  private sightedAtMs = 0;

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
  ) {}

  /** Report of an instance that leads a term which a hold of this change cannot end, if there is one. */
  get leader(): ReplicationReport | undefined {
    return this.leadingReport;
  }

  /** Steady-clock time of the last hold of an instance, in milliseconds. */
  get lastHeldAtMs(): number {
    return this.heldAtMs;
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

  /** Sends a command to several instances and returns the reports of those that respond. */
  async sendToAll(
    instances: readonly RegisteredInstance[],
    command: InstanceCommand,
  ): Promise<ReplicationReport[]> {
    const reports = await Promise.all(
      instances.map(each => this.context.control.sendCommand(each, command)),
    );
    return reports.filter(report => report !== undefined);
  }

  /** Stops replication on the replicas that are not held and stores their positions. */
  async holdReplicas(known: VersionedPrimaryRecord): Promise<void> {
    const canHoldOldPrimary = await this.observeOldPrimary(known);
    const missing = this.replicas(known).filter(
      ({id, bornAtMs}) =>
        (canHoldOldPrimary || id !== known.record.primary) &&
        !this.replicaReports.isHeld(id, bornAtMs),
    );
    const term = this.nextTerm(known);
    // An instance that was ordered to lead is not stopped by a hold.
    if (this.wasPromotionOrdered) {
      await this.sendToAll(missing, {kind: CommandKind.StepDown, term});
    }
    const held = await this.sendToAll(missing, {
      kind: CommandKind.HoldTerm,
      term,
    });
    this.recordOtherName(known, held);
    const reports = await this.stepDownReturnedPrimaries(missing, held, term);
    if (reports.length > 0) this.heldAtMs = steadyNowMs();
    for (const report of reports) {
      const instance = missing.find(({id}) => id === report.id);
      this.replicaReports.record(report, instance?.bornAtMs);
    }
  }

  /**
   * Asks the old primary whether it leads, as long as that can disprove an order.
   *
   * @returns Whether it may be held; a step-down ends what it could show.
   */
  private async observeOldPrimary({
    record,
  }: VersionedPrimaryRecord): Promise<boolean> {
    const old = this.context.directory.find(record.primary);
    const isObserved = this.sighting?.entry.incarnation === old?.bornAtMs;
    const isAssumed = hasOnlyAssumedOrder(record, this.orders());
    if (old === undefined || isObserved || !isAssumed) return true;
    const [report] = await this.sendToAll([old], {kind: CommandKind.Status});
    if (report === undefined) return false;
    const entry = {incarnation: old.bornAtMs, sequence: old.sequence};
    this.sighting = {report, entry};
    this.sightedAtMs = steadyNowMs();
    return true;
  }

  /** Returns the old primary if it has led without interruption until it was held. */
  private uninterruptedPrimary({
    record,
  }: VersionedPrimaryRecord): string | undefined {
    const {directory} = this.context;
    const {sighting} = this;
    const {primary} = record;
    const old = directory.find(primary);
    const isRegistered = old !== undefined && directory.isRegistered(primary);
    const hasLed = hasLedThroughout({
      record,
      orders: this.orders(),
      sighting,
      entry: isRegistered
        ? {incarnation: old.bornAtMs, sequence: old.sequence}
        : undefined,
      observedForMs: steadyNowMs() - directory.ageMs - this.sightedAtMs,
    });
    const isHeld = this.replicaReports.isHeld(
      primary,
      sighting?.entry.incarnation,
    );
    return hasLed && isHeld ? primary : undefined;
  }

  /** Recognizes the old primary if it has returned by another name. */
  private recordOtherName(
    {record}: VersionedPrimaryRecord,
    reports: readonly ReplicationReport[],
  ): void {
    const returned = reports.find(each =>
      isOldPrimaryByAnotherName(record, each),
    );
    if (returned === undefined) return;
    this.otherName = returned.id;
    this.context.departures.of(this.group).recordReport(record, returned);
    this.context.log.info('The old primary has returned by another name.', {
      group: this.group,
      instance: returned.id,
      before: record.primary,
      term: record.term,
      position: formatPosition(returned.received),
    });
  }

  /**
   * Steps down the instances that still lead, because a hold stops only
   * replicas. A primary that crashed returns as one, perhaps by another name.
   *
   * @returns The reports of the instances that are held.
   */
  private async stepDownReturnedPrimaries(
    instances: readonly RegisteredInstance[],
    reports: readonly ReplicationReport[],
    term: number,
  ): Promise<ReplicationReport[]> {
    const leaders = instances.filter(({id}) =>
      reports.some(report => report.id === id && report.isPrimary),
    );
    const replicas = reports.filter(({isPrimary}) => !isPrimary);
    this.leadingReport = undefined;
    if (leaders.length === 0) return replicas;
    await this.sendToAll(leaders, {kind: CommandKind.StepDown, term});
    const held = await this.sendToAll(leaders, {
      kind: CommandKind.HoldTerm,
      term,
    });
    [this.leadingReport] = held
      .filter(report => report.isPrimary && report.term >= term)
      .sort((left, right) => right.term - left.term);
    return [...replicas, ...held.filter(({isPrimary}) => !isPrimary)];
  }

  /** Steps the old primary down, if it is reachable and has not reported since it started. */
  async stepDownOldPrimary(known: VersionedPrimaryRecord): Promise<void> {
    const old = this.context.directory.find(known.record.primary);
    if (old === undefined) return;
    if (this.oldPrimaryReport.isHeld(old.id, old.bornAtMs)) return;
    const [report] = await this.sendToAll([old], {
      kind: CommandKind.StepDown,
      term: this.nextTerm(known),
    });
    if (report === undefined) return;
    this.oldPrimaryReport.record(report, old.bornAtMs);
    this.heldAtMs = steadyNowMs();
  }

  /**
   * Holds every instance that reported once more and compares what it has.
   *
   * A promotion that takes effect late, or a release that arrives late, ends the
   * holds without a restart, and the reports are out of date then.
   *
   * @returns Whether the target and everyone else who answers is as reported.
   */
  async confirmHolds(
    known: VersionedPrimaryRecord,
    target: string,
  ): Promise<boolean> {
    const term = this.nextTerm(known);
    const replicas = this.replicas(known).filter(
      ({id}) => this.replicaReports.find(id) !== undefined,
    );
    const old = this.context.directory.find(known.record.primary);
    const hasOldReport =
      old !== undefined && this.oldPrimaryReport.find(old.id) !== undefined;
    const [held, steppedDown] = await Promise.all([
      this.sendToAll(replicas, {kind: CommandKind.HoldTerm, term}),
      this.sendToAll(hasOldReport ? [old] : [], {
        kind: CommandKind.StepDown,
        term,
      }),
    ]);
    const bornAtMs = (id: string): number | undefined =>
      this.context.directory.find(id)?.bornAtMs;
    const areReplicasHeld = held.map(report =>
      this.replicaReports.confirm(report, bornAtMs(report.id)),
    );
    const isOldPrimaryHeld = steppedDown.map(report =>
      this.oldPrimaryReport.confirm(report, bornAtMs(report.id)),
    );
    const hasTargetAnswered = [...held, ...steppedDown].some(
      ({id}) => id === target,
    );
    const areHeld = [...areReplicasHeld, ...isOldPrimaryHeld].every(Boolean);
    // An instance that leads has to be stepped down and held first.
    const isLedElsewhere = [...held, ...steppedDown].some(
      ({isPrimary}) => isPrimary,
    );
    if (isLedElsewhere) this.clear();
    return hasTargetAnswered && areHeld;
  }

  /** Whether every instance that reported is still held; a restart requires a new hold. */
  areIntact(known: VersionedPrimaryRecord): boolean {
    const old = this.context.directory.find(known.record.primary);
    const hasOldPrimaryRestarted =
      old !== undefined && hasRestarted(this.oldPrimaryReport, old);
    const hasReplicaRestarted = this.replicas(known).some(each =>
      hasRestarted(this.replicaReports, each),
    );
    return !hasOldPrimaryRestarted && !hasReplicaRestarted;
  }

  /** Requires every instance to report again. */
  clear(): void {
    this.replicaReports.clear();
    this.oldPrimaryReport.clear();
    this.sighting = undefined;
  }

  /** Returns what the choice of a target depends on. */
  targetInputs(known: VersionedPrimaryRecord): TargetInputs {
    const {primary, initialPosition} = known.record;
    const {configuration, departures, directory} = this.context;
    const departed = departures.of(this.group);
    const old = directory.find(primary);
    const candidates = this.replicas(known).map(({id, isLeaving}) => ({
      id,
      isLeaving,
      report: this.replicaReports.find(id),
    }));
    const isReturned = ({id}: PromotionCandidate): boolean =>
      old === undefined && id === this.otherName && !this.wasPromotionOrdered;
    return {
      replicas: candidates.filter(each => !isReturned(each)),
      oldPrimary: old
        ? {
            id: old.id,
            isLeaving: old.isLeaving,
            report: this.oldPrimaryReport.find(old.id),
          }
        : candidates.find(isReturned),
      mayOldPrimaryReport: old !== undefined,
      hasSynchronousReplication:
        configuration.current?.groups.get(this.group)
          ?.hasSynchronousReplication ?? true,
      wasPromotionOrdered: this.wasPromotionOrdered,
      orderedTarget: this.orderedTarget(),
      uninterruptedPrimary: this.uninterruptedPrimary(known),
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

/** Returns whether an instance has restarted since it reported. */
function hasRestarted(
  reports: HeldReports,
  {id, bornAtMs}: RegisteredInstance,
): boolean {
  return reports.find(id) !== undefined && !reports.isHeld(id, bornAtMs);
}
