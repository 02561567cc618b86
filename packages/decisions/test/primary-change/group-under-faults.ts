import type {
  GroupInstance,
  LogPosition,
  PresentInstance,
  PrimaryRecord,
  PromotionCandidate,
  ReplicationReport,
  TargetChoice,
  TargetInputs,
} from '../../src/index.js';
import {
  chooseTarget,
  confirmersAmong,
  DepartedInstances,
  HeldReports,
  higherPosition,
  PrimaryPhase,
  replicasToHold,
  termFields,
} from '../../src/index.js';
import type {ModelInstance} from './faulty-instances.js';
import {FaultyInstances} from './faulty-instances.js';

/** An instance that leads, or is ordered to, and its term. */
interface Leadership {
  readonly id: string;
  readonly term: number;
  /** Whether the order was reported as unverified. */
  readonly isUnverified?: boolean;
}

/** How long an absent instance may still return, in model time; longer than a history. */
const RETURN_WITHIN = 1_000;

/** Changes how the coordinator of the model forms the inputs of its choice. */
export type InputFilter = (inputs: TargetInputs) => TargetInputs;

/** Changes what a coordinator reads that has just begun. */
export type RecordFilter = (record: PrimaryRecord) => PrimaryRecord;

/**
 * A group whose instances go deaf, crash, lapse, return with and without their
 * logs, leave, are lost and are added, with a coordinator that replaces
 * primaries, and an observer that knows all logs.
 */
export class GroupUnderFaults extends FaultyInstances {
  /**
   * Acknowledged commits that a promotion dropped although an instance had them
   * that is alive or returns, or dropped without reporting it.
   */
  readonly lost: string[] = [];
  /** Promotions that were reported as unverified. */
  unverified = 0;
  /** Promotions in total. */
  promotions = 0;
  /** Holds of leaving replicas. */
  holds = 0;
  /** Orders that took effect after the coordinator had given them up. */
  latePromotions = 0;
  /** Whether a coordinator began that did not know who had announced that it leaves. */
  hasForgottenLeave = false;
  private readonly acknowledged = new Map<string, LogPosition>();
  private departed = new DepartedInstances(() => RETURN_WITHIN);
  /** The record in the store. */
  private record: PrimaryRecord = {
    term: 1,
    primary: 'i1',
    phase: PrimaryPhase.Steady,
  };
  /** What a proxy knows of departures that was the coordinator before. */
  protected idle?: DepartedInstances;
  private held: HeldReports | undefined;
  private oldPrimaryReport = new HeldReports();
  /** An order whose result nobody has seen, until it takes effect or is void. */
  private order: Leadership | undefined;
  /** The instance that leads by an order that took effect late. */
  private lateLeader: Leadership | undefined;
  private now = 0;

  constructor(
    private readonly filter: InputFilter = inputs => inputs,
    private readonly recordFilter: RecordFilter = record => record,
  ) {
    super();
    for (let index = 0; index < 3; index += 1) this.add();
    this.updateDirectory();
  }

  /** Commits a write on the primary; it is acknowledged if a replica received it. */
  write(): void {
    const {leader} = this;
    if (leader === undefined) return;
    const number = (leader.log.at(-1)?.position ?? 0) + 1;
    const position = {term: this.leadership.term, position: number};
    leader.log.push(position);
    if (this.replicate() > 0) this.acknowledged.set(keyOf(position), position);
  }

  /** Lets the coordinator ask the primary for its position, if it can answer. */
  boundDepartures(): void {
    const leader = this.find(this.primary);
    if (this.held !== undefined || leader?.isUp !== true) return;
    const position = reportOf(leader, this.term).received;
    this.departed.recordBound(this.departed.unbounded, position);
    this.recordConfirmers();
  }

  /** Holds the leaving replicas of a steady group, or releases them if none stays. */
  holdLeaving(): void {
    if (this.held !== undefined) return;
    const replicas = this.instances.filter(({id}) => id !== this.primary);
    const held = replicasToHold(
      replicas.map(each => ({...each, isRegistered: true})),
    );
    for (const replica of replicas.filter(({isLeaving}) => isLeaving)) {
      const shouldHold = held.includes(replica.id);
      if (!shouldHold) this.forgetHold(replica);
      if (!replica.isUp) continue;
      replica.isHeld = shouldHold;
      if (!shouldHold) continue;
      this.holds += 1;
      const {received} = reportOf(replica, this.term);
      this.departed.holds.record(replica, received, this.now);
      this.departed.holds.settle([replica], () => true);
    }
    this.replicate();
  }

  /** Forgets the hold of a replica that is released. */
  protected forgetHold(replica: GroupInstance): void {
    this.departed.holds.forget(replica);
  }

  /** Replaces the coordinator by one that knows only the record and the directory. */
  changeCoordinator(): void {
    // The record of a change that waits is not written again.
    this.hasForgottenLeave ||= this.departed.isRecordOutdated(this.record);
    this.departed = this.nextMemory(this.departed);
    this.record = this.recordFilter(this.record);
    this.observeDirectory(this.record);
    if (this.held === undefined) return;
    this.held = new HeldReports();
    this.oldPrimaryReport = new HeldReports();
  }

  /**
   * Starts a change of primary, or takes its next step.
   *
   * @param isOrderSeen - Whether the coordinator sees the result of its order,
   *   if it gives one.
   */
  changePrimary(isOrderSeen = true): void {
    if (this.held === undefined) {
      this.held = new HeldReports();
      this.writeRecord({
        ...termFields(this.record),
        phase: PrimaryPhase.Changing,
        confirmers: this.departed.confirmersFor(this.record),
      });
    }
    for (const instance of this.instances.filter(({isUp}) => isUp)) {
      const reports =
        instance.id === this.primary && this.orders === 0
          ? this.oldPrimaryReport
          : this.held;
      // A hold ends the lead of an instance, and the orders to it.
      if (this.order?.id === instance.id) this.order = undefined;
      if (this.lateLeader?.id === instance.id) this.lateLeader = undefined;
      if (reports.isHeld(instance.id, instance.bornAtMs)) continue;
      reports.record(reportOf(instance, this.term), instance.bornAtMs);
    }
    // The directory of the model is never behind.
    this.held.settle(this.instances, Infinity, () => true);
    const choice = chooseTarget(this.filter(this.inputs(this.held)));
    if (choice.kind === 'wait') return;
    const target = this.find(choice.target);
    if (target?.isUp !== true) return;
    this.promotions += 1;
    if (choice.unverified !== undefined) this.unverified += 1;
    if (!isOrderSeen) {
      this.loseOrder(choice, this.held);
      return;
    }
    this.observePromotion(target, choice.unverified !== undefined);
    this.lead(target, choice.position);
  }

  /** Lets an order take effect whose result nobody has seen. */
  promoteLate(): void {
    const target = this.order && this.find(this.order.id);
    if (target?.isUp !== true) return;
    this.latePromotions += 1;
    this.lateLeader = this.order;
    this.order = undefined;
    this.observePromotion(target, this.lateLeader?.isUnverified === true);
    this.endHolds();
    this.replicate();
  }

  /** Restarts the change after an order without a result. */
  private loseOrder(
    {target, unverified}: Extract<TargetChoice, {kind: 'promote'}>,
    held: HeldReports,
  ): void {
    const orders = this.orders + 1;
    const isUnverified = unverified !== undefined;
    this.order = {id: target, term: this.term + orders, isUnverified};
    held.clear();
    this.oldPrimaryReport.clear();
    const confirmers = this.departed.confirmersFor(this.record);
    this.writeRecord({...this.record, confirmers, orders, target});
  }

  /**
   * Lets every instance return that is alive.
   *
   * @returns Whether a change that is under way ends then.
   */
  settle(): boolean {
    this.returnAll();
    if (this.held !== undefined) this.changePrimary();
    return this.held === undefined;
  }

  /** Lets the time pass after which no instance is expected to return; none does. */
  elapse(): void {
    this.absent.length = 0;
    this.now += RETURN_WITHIN;
  }

  private observePromotion(target: ModelInstance, isUnverified: boolean): void {
    const kept = new Set(target.log.map(keyOf));
    const alive = [...this.instances, ...this.absent];
    const available = new Set(alive.flatMap(({log}) => log.map(keyOf)));
    for (const key of [...this.acknowledged.keys()]) {
      if (kept.has(key)) continue;
      this.acknowledged.delete(key);
      if (!isUnverified || available.has(key)) this.lost.push(key);
    }
  }

  private lead(target: ModelInstance, position: LogPosition): void {
    const term = this.term + this.orders + 1;
    this.held = undefined;
    this.oldPrimaryReport = new HeldReports();
    this.order = undefined;
    this.lateLeader = undefined;
    this.writeRecord({
      term,
      primary: target.id,
      phase: PrimaryPhase.Steady,
      initialPosition: position,
      confirmers: {instances: confirmersAmong(this.instances, target.id)},
    });
    this.endHolds();
    this.replicate();
  }

  /** Ends the holds of leaving replicas, as a promotion does. */
  private endHolds(): void {
    for (const instance of this.instances) instance.isHeld = false;
  }

  private inputs(held: HeldReports): TargetInputs {
    const wasPromotionOrdered = this.orders > 0;
    const replicas = this.instances.filter(
      ({id}) => wasPromotionOrdered || id !== this.primary,
    );
    const old = this.find(this.primary);
    return {
      replicas: replicas.map(each => candidateOf(each, held)),
      oldPrimary: old && candidateOf(old, this.oldPrimaryReport),
      mayOldPrimaryReport: old !== undefined,
      hasSynchronousReplication: true,
      wasPromotionOrdered,
      orderedTarget: this.record.target,
      minimumPosition: [this.departed.bound, held.highestPosition].reduce(
        higherPosition,
        this.record.initialPosition,
      ),
      unverifiedDepartures: this.departed.unbounded
        .filter(each => !held.hasReported(each))
        .map(({id}) => id),
      mayReturn: this.departed.mayReturn(this.now).map(each => ({
        ...each,
        isBounded: each.isBounded || held.hasReported(each),
      })),
    };
  }

  protected override hasKeptLog(id: string): boolean {
    return id === this.leadership.id;
  }

  protected override onLogLost(id: string): void {
    if (this.order?.id === id) this.order = undefined;
  }

  /** Sends the log of the primary to the replicas; returns how many received it. */
  protected override replicate(): number {
    const {leader, held} = this;
    if (leader === undefined) return 0;
    const receivers = this.instances.filter(
      each =>
        each !== leader &&
        each.isUp &&
        !each.isDeaf &&
        !each.isHeld &&
        held?.isHeld(each.id, each.bornAtMs) !== true,
    );
    for (const receiver of receivers) receiver.log = [...leader.log];
    return receivers.length;
  }

  protected override updateDirectory(): void {
    this.observeDirectory(this.record);
    this.recordConfirmers();
  }

  /** Updates the record of a steady group as the coordinator does. */
  private recordConfirmers(): void {
    const {departed, record} = this;
    const isDue =
      record.phase === PrimaryPhase.Steady && departed.isRecordOutdated(record);
    if (isDue)
      this.writeRecord({...record, confirmers: departed.confirmersFor(record)});
  }

  private writeRecord(record: PrimaryRecord): void {
    this.record = this.departed.completeRecord(record);
    this.observeDirectory(this.record);
  }

  /** Returns what the next coordinator knows of departures when it begins. */
  protected nextMemory(_last: DepartedInstances): DepartedInstances {
    return new DepartedInstances(() => RETURN_WITHIN);
  }

  private observeDirectory(record: PrimaryRecord): void {
    this.now += 1;
    const present: PresentInstance[] = this.instances.map(
      ({id, bornAtMs, isLeaving}) => ({id, bornAtMs, isLeaving, address: id}),
    );
    this.departed.update(record, present, this.now);
    this.idle?.update(record, present, this.now);
  }

  /** Who leads, or would if it was running. */
  private get leadership(): Leadership {
    return this.lateLeader ?? {id: this.primary, term: this.term};
  }

  /** The instance that leads; the primary does not once a change has begun. */
  private get leader(): ModelInstance | undefined {
    const isStopped = this.held !== undefined && this.lateLeader === undefined;
    const leader = this.find(this.leadership.id);
    return isStopped || leader?.isUp !== true ? undefined : leader;
  }

  /** Number of orders without a result since the term began. */
  private get orders(): number {
    return this.record.orders ?? 0;
  }

  private get term(): number {
    return this.record.term;
  }

  private get primary(): string {
    return this.record.primary;
  }
}

/** Returns a text that identifies a position. */
function keyOf({term, position}: LogPosition): string {
  return `${term}.${position}`;
}

/** Returns the report of an instance that is held. */
function reportOf(instance: ModelInstance, term: number): ReplicationReport {
  return {
    id: instance.id,
    isPrimary: false,
    term,
    heldTerm: term + 1,
    received: instance.log.at(-1) ?? {term: 0, position: 0},
  };
}

/** Returns an instance with what it has reported. */
function candidateOf(
  {id, isLeaving}: ModelInstance,
  reports: HeldReports,
): PromotionCandidate {
  return {id, isLeaving, report: reports.find(id)};
}
