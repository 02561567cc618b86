import type {
  LogPosition,
  PrimaryRecord,
  PrimarySighting,
  RecordRecovery,
  RecordRecoveryInputs,
  ReplicationReport,
  TargetChoice,
  TargetInputs,
} from '../../src/index.js';
import {
  chooseTarget,
  comparePositions,
  decideRecordRecovery,
  hasLedThroughout,
  HeldReports,
  higherPosition,
  PrimaryPhase,
} from '../../src/index.js';

/** The term of the record in the backup. */
const TERM = 1;

/** Where the term begins; a log that was lost is at the same position. */
const START: LogPosition = {term: TERM, position: 0};

/** What the model takes from the product, so that a variant can leave out one part. */
export interface ReturnedPrimaryRules {
  readonly decide: (inputs: RecordRecoveryInputs) => RecordRecovery;
  readonly hasLed: typeof hasLedThroughout;
  readonly choose: (inputs: TargetInputs) => TargetChoice;
}

/** The rules of the product. */
export const RETURNED_PRIMARY_RULES: ReturnedPrimaryRules = {
  decide: decideRecordRecovery,
  hasLed: hasLedThroughout,
  choose: chooseTarget,
};

/** One event of a history; bit masks name instances. */
export interface ReturnedPrimaryEvent {
  readonly kind:
    'commit' | 'restart' | 'lose' | 'fail' | 'change' | 'late-order';
  readonly instance: number;
  readonly mask: number;
}

/** A primary that is recorded, a store that loses its last seconds, and the change that follows. */
export interface ReturnedPrimaryHistory {
  readonly replicas: number;
  /** Whether the record names the incarnation of the primary. */
  readonly isStartRecorded: boolean;
  readonly before: readonly ReturnedPrimaryEvent[];
  /** Events after the backup, which no record shows. */
  readonly lost: readonly ReturnedPrimaryEvent[];
  /** Instances that are not in the directory after the restore. */
  readonly gone: number;
  /** Instances that do not report to the recovery. */
  readonly silent: number;
  /** Whether a start in the lost seconds is recent enough to be recognized by its age. */
  readonly areStartsRecent: boolean;
  readonly between: readonly ReturnedPrimaryEvent[];
  /** Whether the directory names the recorded start of the primary when it reports. */
  readonly isDirectoryBehind: boolean;
  /** Whether the primary reaches the store after it has reported. */
  readonly reachesStore: boolean;
  /** Instances that do not report to the change. */
  readonly unreachable: number;
}

interface Instance {
  readonly id: string;
  readonly bit: number;
  log: LogPosition[];
  bornAtMs: number;
  term: number;
  heldTerm: number;
  isPrimary: boolean;
  /** The term that it leads again after a start; 0 if it never led. */
  ledTerm: number;
  isUp: boolean;
  /** Whether it started without its log; such a leader commits nothing, which would destroy the logs that follow it. */
  hasLostLog: boolean;
}

/** What became of a history. */
export interface ReturnedPrimaryOutcome {
  /** Acknowledged commits that the chosen instance lacks. */
  readonly lost: readonly string[];
  /** Whether an instance was chosen with a proof. */
  readonly isPromoted: boolean;
  /** Whether the choice rests on the primary that leads although an instance is missing. */
  readonly isUninterrupted: boolean;
  /** Whether the recorded primary lost its log or started after the record was written. */
  readonly hasPrimaryStarted: boolean;
}

/** A group whose recorded primary may return after a restore, with an observer of all logs. */
export class ReturnedPrimaryModel {
  private readonly instances: readonly Instance[];
  private readonly acknowledged: LogPosition[] = [];
  private pendingTarget: Instance | undefined;
  private starts = 1;
  private hasStarted = false;

  constructor(
    private readonly history: ReturnedPrimaryHistory,
    private readonly rules: ReturnedPrimaryRules,
  ) {
    this.instances = Array.from({length: history.replicas + 1}, (_, index) => ({
      id: `i${index}`,
      bit: 2 ** index,
      log: [],
      bornAtMs: 1,
      term: TERM,
      heldTerm: 0,
      isPrimary: index === 0,
      ledTerm: index === 0 ? TERM : 0,
      isUp: true,
      hasLostLog: false,
    }));
  }

  /** Plays the history until an instance is chosen, or none can be. */
  play(): ReturnedPrimaryOutcome {
    const {history} = this;
    for (const event of history.before) this.apply(event);
    const restored = this.record();
    for (const event of history.lost) this.apply(event);
    for (const instance of this.among(history.gone)) instance.isUp = false;
    const record = this.recover(restored);
    for (const event of history.between) this.apply(event);
    return record === undefined ? this.outcome() : this.change(record);
  }

  private get primary(): Instance {
    return this.instances[0]!;
  }

  private get present(): readonly Instance[] {
    const gone = this.among(this.history.gone);
    return this.instances.filter(each => !gone.includes(each));
  }

  private among(mask: number): readonly Instance[] {
    return this.instances.filter(({bit}) => Math.floor(mask / bit) % 2 === 1);
  }

  private apply({kind, instance: index, mask}: ReturnedPrimaryEvent): void {
    const instance = this.instances[index % this.instances.length]!;
    switch (kind) {
      case 'commit':
        return this.commit(mask);
      case 'restart':
      case 'lose':
        return this.start(instance, kind === 'restart', mask % 4);
      case 'fail':
        instance.isUp = false;
        return;
      case 'change':
        return this.changeUnrecorded(mask, index % 2 === 0);
      case 'late-order':
        return this.takeEffect();
    }
  }

  /** Lets each leader commit a write, which the replicas of a mask receive. */
  private commit(mask: number): void {
    for (const leader of this.instances) {
      const canCommit = leader.isPrimary && leader.isUp && !leader.hasLostLog;
      if (!canCommit) continue;
      const position = (leader.log.at(-1)?.position ?? 0) + 1;
      const entry = {term: leader.term, position};
      leader.log.push(entry);
      const receivers = this.among(mask).filter(
        each =>
          each !== leader &&
          each.isUp &&
          !each.isPrimary &&
          each.term <= leader.term &&
          each.heldTerm <= leader.term,
      );
      for (const each of receivers) this.follow(each, leader);
      // The views of a replaced primary are revoked before the next one leads.
      const isReplaced = this.instances.some(
        each => each.ledTerm > leader.ledTerm,
      );
      if (receivers.length > 0 && !isReplaced) this.acknowledged.push(entry);
    }
  }

  private follow(replica: Instance, leader: Instance): void {
    replica.term = leader.term;
    replica.heldTerm = 0;
    replica.isPrimary = false;
    replica.log = [...leader.log];
  }

  /** Starts an instance; the latest leader claims its term again, with its log or the beginning of it. */
  private start(instance: Instance, keepsLog: boolean, kept: number): void {
    this.starts += 1;
    if (instance === this.primary) this.hasStarted = true;
    const isReplaced = this.instances.some(
      each => each.ledTerm > instance.ledTerm,
    );
    instance.isUp = true;
    instance.bornAtMs = this.starts;
    instance.heldTerm = 0;
    instance.isPrimary = instance.ledTerm > 0 && !isReplaced;
    if (keepsLog) return;
    instance.log = instance.log.slice(0, kept);
    instance.hasLostLog = true;
  }

  private report(instance: Instance): ReplicationReport {
    const {id, isPrimary, term, heldTerm, log} = instance;
    return {id, isPrimary, term, heldTerm, received: log.at(-1) ?? START};
  }

  private record(): PrimaryRecord {
    const {primary, history} = this;
    return {
      term: TERM,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
      initialPosition: START,
      primaryBornAtMs: history.isStartRecorded ? primary.bornAtMs : undefined,
      confirmers: {
        instances: this.instances
          .filter(each => each !== primary)
          .map(({id, bornAtMs}) => ({id, bornAtMs})),
      },
    };
  }

  /** Replaces the primary as a coordinator does whose records are lost; its order may take effect later. */
  private changeUnrecorded(unreachable: number, isLate: boolean): void {
    const leadsOnly = this.instances.every(
      each => each === this.primary || each.ledTerm === 0,
    );
    // A primary without its log is not expected by the platform.
    if (!leadsOnly || this.hasStarted) return;
    const nextTerm = TERM + 1;
    const reachable = this.instances.filter(
      each => each.isUp && !this.among(unreachable).includes(each),
    );
    for (const each of reachable) {
      if (each === this.primary) each.isPrimary = false;
      else each.heldTerm = Math.max(each.heldTerm, nextTerm);
    }
    const candidate = (each: Instance): TargetInputs['replicas'][number] => ({
      id: each.id,
      isLeaving: false,
      report: reachable.includes(each) ? this.report(each) : undefined,
    });
    const choice = chooseTarget({
      replicas: this.instances.slice(1).map(candidate),
      oldPrimary: candidate(this.primary),
      mayOldPrimaryReport: true,
      hasSynchronousReplication: true,
      wasPromotionOrdered: false,
      minimumPosition: START,
      unverifiedDepartures: this.instances
        .filter(each => each !== this.primary && each.bornAtMs > 1)
        .map(({id}) => id),
      mayReturn: [],
    });
    if (choice.kind === 'wait' || choice.unverified !== undefined) return;
    this.pendingTarget = this.instances.find(({id}) => id === choice.target);
    if (isLate) return;
    this.takeEffect();
    for (const each of reachable) each.heldTerm = 0;
  }

  /** Lets the order that is under way take effect, unless its target was held for a later one. */
  private takeEffect(): void {
    const target = this.pendingTarget;
    this.pendingTarget = undefined;
    if (target === undefined || !target.isUp) return;
    if (target.heldTerm > TERM + 1 || target.bornAtMs > 1) return;
    target.isPrimary = true;
    target.term = TERM + 1;
    target.ledTerm = TERM + 1;
    target.heldTerm = 0;
  }

  private recover(restored: PrimaryRecord): PrimaryRecord | undefined {
    const {history, present, rules} = this;
    const silent = this.among(history.silent);
    const decision = rules.decide({
      restored,
      remembered: undefined,
      instances: present.map(each => ({
        id: each.id,
        isLeaving: false,
        bornAtMs: each.bornAtMs,
        report:
          each.isUp && !silent.includes(each) ? this.report(each) : undefined,
        mayHaveLostHold: history.areStartsRecent && each.bornAtMs > 1,
      })),
      waitedMs: Infinity,
      orderPendingMs: 0,
    });
    return decision.kind === 'change'
      ? {...decision.record, confirmers: restored.confirmers}
      : undefined;
  }

  /** Holds who can be reached as a change does, and chooses. */
  private change(record: PrimaryRecord): ReturnedPrimaryOutcome {
    const {history, present, rules} = this;
    const unreachable = this.among(history.unreachable);
    const reachable = present.filter(
      each => each.isUp && !unreachable.includes(each),
    );
    const old = this.instances.find(({id}) => id === record.primary)!;
    const listed = history.isDirectoryBehind ? 1 : old.bornAtMs;
    const sighting: PrimarySighting | undefined = reachable.includes(old)
      ? {report: this.report(old), entry: {incarnation: listed, sequence: 1}}
      : undefined;
    const orders = record.orders ?? 0;
    const nextTerm = record.term + 1 + orders;
    const held = new HeldReports();
    for (const each of reachable) {
      if (each.term < nextTerm) each.isPrimary = false;
      each.heldTerm = Math.max(each.heldTerm, nextTerm);
      held.record(this.report(each), each.bornAtMs);
    }
    const departed = (record.confirmers?.instances ?? []).filter(
      ({id, bornAtMs}) =>
        !present.some(each => each.id === id && each.bornAtMs === bornAtMs),
    );
    const hasLed = rules.hasLed({
      record,
      orders,
      sighting,
      entry: history.reachesStore
        ? {incarnation: old.bornAtMs, sequence: 2}
        : {incarnation: listed, sequence: 1},
      observedForMs: Infinity,
    });
    const inputs: TargetInputs = {
      replicas: present.map(({id}) => ({
        id,
        isLeaving: false,
        report: held.find(id),
      })),
      oldPrimary: undefined,
      mayOldPrimaryReport: present.includes(old),
      hasSynchronousReplication: true,
      wasPromotionOrdered: true,
      uninterruptedPrimary: hasLed ? old.id : undefined,
      minimumPosition: [record.initialPosition, held.highestPosition].reduce(
        higherPosition,
        undefined,
      ),
      unverifiedDepartures: departed.map(({id}) => id),
      mayReturn: departed
        .filter(({id}) => !present.some(each => each.id === id))
        .map(each => ({...each, isBounded: false})),
    };
    const isMissing = inputs.unverifiedDepartures.length > 0;
    return this.outcome(rules.choose(inputs), hasLed && isMissing);
  }

  private outcome(
    choice?: TargetChoice,
    isUninterrupted = false,
  ): ReturnedPrimaryOutcome {
    const target =
      choice?.kind === 'promote' && choice.unverified === undefined
        ? this.instances.find(({id}) => id === choice.target)
        : undefined;
    const isPromoted = target !== undefined;
    const missing = this.acknowledged.filter(
      entry =>
        target?.log.every(each => comparePositions(each, entry) !== 0) === true,
    );
    return {
      lost: missing.map(({term, position}) => `${term}.${position}`),
      isPromoted,
      isUninterrupted: isPromoted && isUninterrupted,
      hasPrimaryStarted: this.hasStarted,
    };
  }
}
