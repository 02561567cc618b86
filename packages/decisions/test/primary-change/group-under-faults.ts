import type {
  LogPosition,
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
 * A group whose instances go deaf, crash, return with and without their logs,
 * leave and are added, with a coordinator that replaces primaries, and an
 * observer that knows all logs.
 */
export class GroupUnderFaults {
  /** Acknowledged commits that a promotion dropped without reporting it. */
  readonly lost: string[] = [];
  /** Promotions that were reported as unverified. */
  unverified = 0;
  /** Promotions in total. */
  promotions = 0;
  private readonly instances: ModelInstance[] = [];
  private readonly acknowledged = new Map<string, LogPosition>();
  private departed = new DepartedInstances();
  /** The record in the store. */
  private record: PrimaryRecord = {
    term: 1,
    primary: 'i1',
    phase: PrimaryPhase.Steady,
  };
  private held: HeldReports | undefined;
  private oldPrimaryReport = new HeldReports();
  private created = 0;

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

  /** Removes an instance with its log; at least one other remains. */
  leave(index: number): void {
    const instance = this.at(index);
    if (instance === undefined || this.instances.length < 3) return;
    this.instances.splice(this.instances.indexOf(instance), 1);
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
    this.departed = new DepartedInstances();
    this.departed.update(this.recordFilter(this.record), this.instances);
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
    const kept = new Set(target.log.map(keyOf));
    for (const key of [...this.acknowledged.keys()]) {
      if (kept.has(key)) continue;
      this.acknowledged.delete(key);
      if (choice.unverified === undefined) this.lost.push(key);
    }
    this.lead(target, choice.position);
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
    this.departed.update(this.record, this.instances);
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
    this.record = record;
    this.departed.update(record, this.instances);
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
