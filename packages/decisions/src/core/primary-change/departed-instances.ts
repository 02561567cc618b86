import type {LogPosition} from '../groups/index.js';
import {AbsentInstances} from './absent-instances.js';
import {EarlierDepartures} from './earlier-departures.js';
import {higherPosition} from './held-reports.js';
import type {
  AbsentInstance,
  GroupInstance,
  PresentInstance,
  PrimaryRecord,
  RecordedConfirmers,
  ReplicationReport,
} from './types.js';

/** An instance that is gone from the group. */
export interface Departure {
  /** The instance, as it was before it left or restarted. */
  readonly instance: GroupInstance;
  /** Position of the primary after the departure; includes all that the instance confirmed. */
  bound: LogPosition | undefined;
}

/** A hold of a replica during the term. */
interface Hold {
  readonly instance: GroupInstance;
  /** Highest position that the replica reported. */
  readonly position: LogPosition;
  /** Since when no command can end it unseen, in milliseconds; undefined if one may. */
  readonly finalSinceMs: number | undefined;
  /** Whether it is certainly one of the listed start. */
  isSettled: boolean;
}

/**
 * Instances of one group that left, or restarted, during the current term.
 *
 * Such an instance may have been the only replica that confirmed a commit, so
 * "all remaining replicas have reported" proves nothing until one of them has
 * reached what the primary had after the departure. Whether its log may come
 * back is a different question: {@link AbsentInstances}. The record of the group
 * carries what a coordinator needs that did not see the departures itself.
 */
export class DepartedInstances {
  private term = 0;
  private primary: string | undefined;
  private present: readonly GroupInstance[] = [];
  private departures: Departure[] = [];
  /** What the last record of the term said, if any did. */
  private recorded: RecordedConfirmers | undefined;
  /** Instances that a record of the term listed and the last one does not. */
  private takenOff: readonly GroupInstance[] = [];
  /** Replicas that are held during the term, and the position at which each one was held. */
  private holds: Hold[] = [];
  /** Position that every log with a certain acknowledged commit has reached. */
  private acknowledged: LogPosition | undefined;
  private readonly absences: AbsentInstances;
  private readonly earlier = new EarlierDepartures();

  /**
   * @param returnWithinMs - Returns how long an instance whose entry has lapsed
   *   may still return with its log, in milliseconds.
   */
  constructor(returnWithinMs: () => number) {
    this.absences = new AbsentInstances(returnWithinMs);
  }

  /**
   * Updates the record and the list of instances.
   *
   * @param record - The group's record; departures of earlier terms are covered
   *   by the start of its term. A record of an earlier term than the last one is
   *   ignored.
   * @param instances - The instances that are in the directory.
   * @param nowMs - Time of the steady clock, in milliseconds.
   */
  update(
    record: PrimaryRecord,
    instances: readonly PresentInstance[],
    nowMs: number,
  ): void {
    const {term, primary, confirmers} = record;
    this.earlier.update(record, instances);
    const present = instances
      .map(({id, bornAtMs}) => ({id, bornAtMs}))
      .filter(instance => !this.earlier.includes(instance));
    if (term > this.term) {
      this.term = term;
      this.primary = primary;
      this.departures = [];
      this.recorded = undefined;
      this.takenOff = [];
      this.holds = [];
      this.acknowledged = undefined;
      this.present = present;
    }
    // A promotion that takes effect late ends every hold.
    if (term === this.term && (record.orders ?? 0) > 0) this.holds = [];
    // An instance that has returned in the same incarnation has to report itself.
    this.departures = this.departures.filter(
      ({instance, bound}) =>
        bound !== undefined || !includes(present, instance),
    );
    this.addDepartures(this.present, present);
    if (confirmers !== undefined && term === this.term)
      this.applyRecorded(confirmers, present);
    this.present = present;
    const current = term === this.term ? record : undefined;
    this.absences.update(current, instances, this.unbounded, nowMs);
  }

  /**
   * Returns the instances that may come back with their logs, with the primary
   * of the term and instances that went in earlier terms.
   *
   * @param nowMs - Time of the steady clock, in milliseconds.
   */
  mayReturn(nowMs: number): AbsentInstance[] {
    const unbounded = [this.primary, ...this.unbounded.map(({id}) => id)];
    return this.absences.mayReturn(nowMs).map(instance => ({
      ...instance,
      isBounded: !unbounded.includes(instance.id),
    }));
  }

  /**
   * Handles a report of an instance. If it shows that the primary has returned
   * by another name, the primary is not expected by its old one.
   */
  recordReport(record: PrimaryRecord, report: ReplicationReport): void {
    if (isOldPrimaryByAnotherName(record, report))
      this.absences.recordOtherName(record.primary);
  }

  /** The term whose departures are known; 0 before the first record. */
  get currentTerm(): number {
    return this.term;
  }

  /** The departures of the term. */
  get all(): readonly Readonly<Departure>[] {
    return this.departures;
  }

  /** Instances whose confirmed commits are not bounded by a known position. */
  get unbounded(): readonly GroupInstance[] {
    return this.departures
      .filter(({bound}) => bound === undefined)
      .map(({instance}) => instance);
  }

  /**
   * Highest position that a departed instance may have confirmed, as far as it is
   * known, or that an acknowledged commit has certainly reached.
   */
  get bound(): LogPosition | undefined {
    return this.departures.reduce<LogPosition | undefined>(
      (highest, {bound}) => higherPosition(highest, bound),
      higherPosition(this.recorded?.departedPosition, this.acknowledged),
    );
  }

  /**
   * Records a position that every log with a certain acknowledged commit has
   * reached, whoever confirmed the commit. One of an earlier term is included in
   * the start of the term, unless the commit was given up since.
   */
  recordAcknowledged(position: LogPosition): void {
    if (position.term < this.term) return;
    this.acknowledged = higherPosition(this.acknowledged, position);
  }

  /** Returns what a further record of the same term has to carry. */
  confirmersFor({
    term,
    confirmers,
  }: PrimaryRecord): RecordedConfirmers | undefined {
    if (term !== this.term) return confirmers;
    const {present, unbounded, primary, bound} = this;
    return this.withAbsences(
      {
        instances: confirmersAmong([...present, ...unbounded], primary),
        departedPosition: bound,
      },
      primary,
    );
  }

  /**
   * Completes a record, also of a new term, by what is known of logs that may
   * come back. A record without a list of confirmers stays as it is.
   */
  completeRecord(record: PrimaryRecord): PrimaryRecord {
    const {confirmers, primary} = record;
    if (confirmers === undefined) return record;
    return {...record, confirmers: this.withAbsences(confirmers, primary)};
  }

  /**
   * Returns whether a record lacks an instance that may have confirmed commits
   * of its term or may return, lists one whose commits are bounded by now, or
   * does not say that one is leaving.
   */
  isRecordOutdated(record: PrimaryRecord): boolean {
    const recorded = record.confirmers;
    const confirmers = this.confirmersFor(record);
    if (recorded === undefined || confirmers === undefined)
      return recorded !== confirmers;
    return !(
      haveSameInstances(recorded.instances, confirmers.instances) &&
      haveSameInstances(recorded.leaving, confirmers.leaving) &&
      haveSameInstances(recorded.absent, confirmers.absent)
    );
  }

  /**
   * Records a position that the primary of the term reported.
   *
   * @param departed - The departures that preceded the question.
   * @param position - The position.
   */
  recordBound(departed: readonly GroupInstance[], position: LogPosition): void {
    for (const departure of this.departures) {
      if (departed.includes(departure.instance)) departure.bound ??= position;
    }
  }

  /**
   * Records that a replica was held at a position, so that it has confirmed
   * nothing of the term beyond it. Of several reports the highest counts: a lower
   * one comes from a later start, whose entry the directory does not have yet.
   *
   * @param instance - The replica.
   * @param position - What it had received when it was held.
   * @param finalSinceMs - When it reported that, in milliseconds; undefined if a
   *   command of before may still end the hold. Such a hold bounds nothing.
   */
  recordHold(
    {id, bornAtMs}: GroupInstance,
    position: LogPosition,
    finalSinceMs: number | undefined,
  ): void {
    const instance = {id, bornAtMs};
    const before = this.holds.find(hold => isSame(hold.instance, instance));
    this.forgetHold(instance);
    const isFinal = finalSinceMs !== undefined;
    this.holds.push({
      instance,
      position: higherPosition(before?.position, position) ?? position,
      finalSinceMs: isFinal
        ? (before?.finalSinceMs ?? finalSinceMs)
        : undefined,
      isSettled: isFinal && before?.isSettled === true,
    });
  }

  /**
   * Handles a list of the instances. A replica that has started again is listed by
   * its former start for a while, so a hold bounds the listed start only if the
   * list still has it later than that.
   *
   * @param listed - The instances of the list.
   * @param isListedSince - Returns whether the list has all that started before a
   *   time, in milliseconds.
   */
  settleHolds(
    listed: readonly GroupInstance[],
    isListedSince: (timeMs: number) => boolean,
  ): void {
    for (const hold of this.holds) {
      const {instance, finalSinceMs} = hold;
      hold.isSettled ||=
        finalSinceMs !== undefined &&
        includes(listed, instance) &&
        isListedSince(finalSinceMs);
    }
  }

  /** Records that a replica is not held any more, or may not be. */
  forgetHold(instance: GroupInstance): void {
    this.holds = this.holds.filter(
      ({instance: held}) => !isSame(held, instance),
    );
  }

  /** Forgets every hold; another coordinator may have ended them. */
  forgetHolds(): void {
    this.holds = [];
  }

  private withAbsences(
    {instances, departedPosition}: RecordedConfirmers,
    primary: string | undefined,
  ): RecordedConfirmers {
    return {
      instances,
      departedPosition,
      ...this.absences.recordedWith(instances, primary),
    };
  }

  /** Adds a departure for each instance that is no longer in the directory. */
  private addDepartures(
    before: readonly GroupInstance[],
    present: readonly GroupInstance[],
  ): void {
    for (const instance of before) {
      if (instance.id === this.primary || includes(present, instance)) continue;
      // The directory of this proxy may be behind that of the coordinator.
      const bound = includes(this.takenOff, instance)
        ? this.recorded?.departedPosition
        : this.holds.find(
            hold => hold.isSettled && isSame(hold.instance, instance),
          )?.position;
      this.departures.push({instance, bound});
    }
  }

  private applyRecorded(
    confirmers: RecordedConfirmers,
    present: readonly GroupInstance[],
  ): void {
    const listedBefore = this.recorded?.instances ?? [];
    const {instances, departedPosition} = confirmers;
    // Within a term an instance is taken off the list only once it is bounded.
    this.takenOff = [...this.takenOff, ...listedBefore].filter(
      each => !includes(instances, each),
    );
    for (const departure of this.departures) {
      if (includes(this.takenOff, departure.instance))
        departure.bound ??= departedPosition;
    }
    const isKnown = (instance: GroupInstance): boolean =>
      this.departures.some(
        ({instance: departed, bound}) =>
          isSame(departed, instance) &&
          (bound === undefined || includes(listedBefore, instance)),
      );
    this.addDepartures(
      instances.filter(each => !isKnown(each)),
      present,
    );
    this.recorded = confirmers;
  }
}

/**
 * Returns the instances that may confirm commits of a primary, each once and in
 * order of their names.
 */
export function confirmersAmong(
  instances: readonly GroupInstance[],
  primary: string | undefined,
): GroupInstance[] {
  return instances
    .filter(
      (each, index) =>
        each.id !== primary &&
        instances.findIndex(other => isSame(other, each)) === index,
    )
    .map(({id, bornAtMs}) => ({id, bornAtMs}))
    .sort(
      (left, right) =>
        Number(left.id > right.id) - Number(left.id < right.id) ||
        (left.bornAtMs ?? 0) - (right.bornAtMs ?? 0),
    );
}

/**
 * Returns whether a report shows that the primary of a record returned by
 * another name: only one instance ever leads a term.
 */
export function isOldPrimaryByAnotherName(
  {term, primary}: PrimaryRecord,
  report: ReplicationReport,
): boolean {
  return report.isPrimary && report.term === term && report.id !== primary;
}

function haveSameInstances(
  left: readonly GroupInstance[] = [],
  right: readonly GroupInstance[] = [],
): boolean {
  return (
    left.length === right.length && right.every(each => includes(left, each))
  );
}

function includes(
  instances: readonly GroupInstance[],
  instance: GroupInstance,
): boolean {
  return instances.some(each => isSame(each, instance));
}

function isSame(left: GroupInstance, right: GroupInstance): boolean {
  return left.id === right.id && left.bornAtMs === right.bornAtMs;
}
