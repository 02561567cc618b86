import type {
  LogPosition,
  PresentInstance,
  PrimaryRecord,
  PromotionCandidate,
  ReplicationReport,
  TargetInputs,
} from '../../src/index.js';
import {
  chooseTarget,
  confirmersAmong,
  DepartedInstances,
  HeldReports,
  higherPosition,
  PrimaryPhase,
  termFields,
} from '../../src/index.js';

/** How long an absent instance may still return, in model time; longer than a history. */
const RETURN_WITHIN = 1_000;

/** Changes how the coordinator of the model forms the inputs of its choice. */
export type InputFilter = (inputs: TargetInputs) => TargetInputs;

/** Changes what a coordinator reads that has just begun. */
export type RecordFilter = (record: PrimaryRecord) => PrimaryRecord;

/** One instance of the model. */
interface ModelInstance {
  readonly id: string;
  log: LogPosition[];
  bornAtMs: number;
  isUp: boolean;
  isDeaf: boolean;
  isLeaving: boolean;
}

/**
 * A group whose instances go deaf, crash, lapse, return with and without their
 * logs, leave, are lost and are added, with a coordinator that replaces
 * primaries, and an observer that knows all logs.
 */
export class GroupUnderFaults {
  /**
   * Acknowledged commits that a promotion dropped although an instance had them
   * that is alive or returns, or dropped without reporting it.
   */
  readonly lost: string[] = [];
  /** Promotions that were reported as unverified. */
  unverified = 0;
  /** Promotions in total. */
  promotions = 0;
  /** Instances that were lost with their logs without an announcement. */
  lostInstances = 0;
  /** Whether a coordinator began that did not know who had announced that it leaves. */
  hasForgottenLeave = false;
  private readonly instances: ModelInstance[] = [];
  /** Instances whose entries have lapsed and that return. */
  private readonly absent: ModelInstance[] = [];
  private readonly acknowledged = new Map<string, LogPosition>();
  private departed = new DepartedInstances(RETURN_WITHIN);
  /** The record in the store. */
  private record: PrimaryRecord = {
    term: 1,
    primary: 'i1',
    phase: PrimaryPhase.Steady,
  };
  private held: HeldReports | undefined;
  private oldPrimaryReport = new HeldReports();
  private created = 0;
  private now = 0;

  constructor(
    private readonly filter: InputFilter = inputs => inputs,
    private readonly recordFilter: RecordFilter = record => record,
  ) {
    for (let index = 0; index < 3; index += 1) this.add();
    this.updateDirectory();
  }

  /** Adds an empty replica. */
  add(): void {
    this.created += 1;
    this.instances.push({
      id: `i${this.created}`,
      log: [],
      bornAtMs: this.created,
      isUp: true,
      isDeaf: false,
      isLeaving: false,
    });
    this.replicate();
    this.updateDirectory();
  }

  /** Commits a write on the primary; it is acknowledged if a replica received it. */
  write(): void {
    const leader = this.find(this.primary);
    if (this.held !== undefined || leader?.isUp !== true) return;
    const number = (leader.log.at(-1)?.position ?? 0) + 1;
    const position = {term: this.term, position: number};
    leader.log.push(position);
    if (this.replicate() > 0) this.acknowledged.set(keyOf(position), position);
  }

  /** Changes whether an instance receives anything. */
  toggleDeaf(index: number): void {
    const instance = this.at(index);
    if (instance === undefined) return;
    instance.isDeaf = !instance.isDeaf;
    this.replicate();
  }

  /** Stops an instance. */
  crash(index: number): void {
    const instance = this.at(index);
    if (instance !== undefined) instance.isUp = false;
  }

  /** Starts a stopped instance again. A replica may have lost its log. */
  restart(index: number, keepsLog: boolean): void {
    const instance = this.at(index);
    if (instance === undefined || instance.isUp) return;
    instance.isUp = true;
    this.created += 1;
    instance.bornAtMs = this.created;
    if (!keepsLog && instance.id !== this.primary) instance.log = [];
    this.replicate();
    this.updateDirectory();
  }

  /** Stops the replicas that are not leaving from receiving anything. */
  cutPrimary(): void {
    for (const instance of this.instances)
      instance.isDeaf ||= !instance.isLeaving;
  }

  /** Lets an instance announce that it leaves. */
  announceLeave(index: number): void {
    const instance = this.at(index);
    if (instance === undefined) return;
    instance.isLeaving = true;
    this.updateDirectory();
  }

  /** Removes an instance that has announced it, with its log. */
  leave(index: number): void {
    const instance = this.at(index);
    if (instance?.isLeaving === true) this.remove(instance);
  }

  /** Removes an instance with its log for good, without an announcement. */
  lose(index: number): void {
    const instance = this.at(index);
    if (instance === undefined || instance.isLeaving) return;
    if (this.remove(instance)) this.lostInstances += 1;
  }

  /** Makes an instance dark until its entry has lapsed. A replica may lose its log. */
  lapse(index: number, keepsLog: boolean): void {
    const instance = this.at(index);
    if (instance === undefined || instance.isLeaving) return;
    if (!this.remove(instance)) return;
    this.absent.push(instance);
    if (!keepsLog && instance.id !== this.primary) this.stop(instance);
  }

  /** Lets an instance return whose entry had lapsed. */
  comeBack(index: number): void {
    const instance = this.absent[index % Math.max(1, this.absent.length)];
    if (instance === undefined) return;
    this.absent.splice(this.absent.indexOf(instance), 1);
    instance.isUp = true;
    this.instances.push(instance);
    this.replicate();
    this.updateDirectory();
  }

  /** Lets the coordinator ask the primary for its position, if it can answer. */
  boundDepartures(): void {
    const leader = this.find(this.primary);
    if (this.held !== undefined || leader?.isUp !== true) return;
    const position = reportOf(leader, this.term).received;
    this.departed.recordBound(this.departed.unbounded, position);
    this.recordConfirmers();
  }

  /** Replaces the coordinator by one that knows only the record and the directory. */
  changeCoordinator(): void {
    // The record of a change that waits is not written again.
    this.hasForgottenLeave ||= this.departed.isRecordOutdated(this.record);
    this.departed = new DepartedInstances(RETURN_WITHIN);
    this.record = this.recordFilter(this.record);
    this.observeDirectory(this.record);
    if (this.held === undefined) return;
    this.held = new HeldReports();
    this.oldPrimaryReport = new HeldReports();
  }

  /** Starts a change of primary, or takes its next step. */
  changePrimary(): void {
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
        instance.id === this.primary ? this.oldPrimaryReport : this.held;
      if (reports.isHeld(instance.id, instance.bornAtMs)) continue;
      reports.record(reportOf(instance, this.term), instance.bornAtMs);
    }
    const choice = chooseTarget(this.filter(this.inputs(this.held)));
    if (choice.kind === 'wait') return;
    const target = this.find(choice.target);
    if (target?.isUp !== true) return;
    this.promotions += 1;
    if (choice.unverified !== undefined) this.unverified += 1;
    this.observePromotion(target, choice.unverified !== undefined);
    this.lead(target, choice.position);
  }

  /**
   * Lets every instance return that is alive.
   *
   * @returns Whether a change that is under way ends then.
   */
  settle(): boolean {
    while (this.absent.length > 0) this.comeBack(0);
    for (const [index, instance] of this.instances.entries()) {
      instance.isDeaf = false;
      this.restart(index, true);
    }
    if (this.held !== undefined) this.changePrimary();
    return this.held === undefined;
  }

  /** Lets the time pass after which no instance is expected to return. */
  elapse(): void {
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

  /** Removes an instance from the group, if at least two others remain. */
  private remove(instance: ModelInstance): boolean {
    if (this.instances.length < 3) return false;
    this.instances.splice(this.instances.indexOf(instance), 1);
    this.updateDirectory();
    return true;
  }

  /** Ends an incarnation together with its log. */
  private stop(instance: ModelInstance): void {
    this.created += 1;
    instance.bornAtMs = this.created;
    instance.log = [];
  }

  private lead(target: ModelInstance, position: LogPosition): void {
    this.held = undefined;
    this.oldPrimaryReport = new HeldReports();
    this.writeRecord({
      term: this.term + 1,
      primary: target.id,
      phase: PrimaryPhase.Steady,
      initialPosition: position,
      confirmers: {instances: confirmersAmong(this.instances, target.id)},
    });
    this.replicate();
  }

  private inputs(held: HeldReports): TargetInputs {
    const replicas = this.instances.filter(({id}) => id !== this.primary);
    const old = this.find(this.primary);
    return {
      replicas: replicas.map(each => candidateOf(each, held)),
      oldPrimary: old && candidateOf(old, this.oldPrimaryReport),
      mayOldPrimaryReport: old !== undefined,
      hasSynchronousReplication: true,
      wasPromotionOrdered: false,
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

  /** Sends the log of the primary to the replicas; returns how many received it. */
  private replicate(): number {
    const leader = this.find(this.primary);
    if (this.held !== undefined || leader?.isUp !== true) return 0;
    const receivers = this.instances.filter(
      each => each !== leader && each.isUp && !each.isDeaf,
    );
    for (const receiver of receivers) receiver.log = [...leader.log];
    return receivers.length;
  }

  private updateDirectory(): void {
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

  private observeDirectory(record: PrimaryRecord): void {
    this.now += 1;
    const present: PresentInstance[] = this.instances.map(
      ({id, bornAtMs, isLeaving}) => ({id, bornAtMs, isLeaving, address: id}),
    );
    this.departed.update(record, present, this.now);
  }

  private get term(): number {
    return this.record.term;
  }

  private get primary(): string {
    return this.record.primary;
  }

  private at(index: number): ModelInstance | undefined {
    return this.instances[index % this.instances.length];
  }

  private find(id: string): ModelInstance | undefined {
    return this.instances.find(each => each.id === id);
  }
}

function keyOf({term, position}: LogPosition): string {
  return `${term}.${position}`;
}

function reportOf(instance: ModelInstance, term: number): ReplicationReport {
  return {
    id: instance.id,
    isPrimary: false,
    term,
    heldTerm: term + 1,
    received: instance.log.at(-1) ?? {term: 0, position: 0},
  };
}

function candidateOf(
  {id, isLeaving}: ModelInstance,
  reports: HeldReports,
): PromotionCandidate {
  return {id, isLeaving, report: reports.find(id)};
}
