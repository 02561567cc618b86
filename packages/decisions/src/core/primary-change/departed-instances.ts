import type {LogPosition} from '../groups/index.js';
import {AbsentInstances} from './absent-instances.js';
import {EarlierDepartures} from './earlier-departures.js';
import {HeldPositions} from './held-positions.js';
import {higherPosition} from './held-reports.js';
import {haveSameInstances, includes, isSame} from './same-instances.js';
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
  private readonly heldPositions = new HeldPositions();
  /** Position that every log with a certain acknowledged commit has reached. */
  private acknowledged: LogPosition | undefined;
  private readonly absences: AbsentInstances;
  private readonly earlier: EarlierDepartures;
  /** Instances that this proxy listed in the term, but were gone before it. */
  private goneBefore: readonly GroupInstance[] = [];
  /** Those of {@link goneBefore} that answered when they were asked last. */
  private answering: readonly GroupInstance[] = [];

  /**
   * @param returnWithinMs - Returns how long an instance whose entry has lapsed
   *   may still return with its log, in milliseconds.
   * @param lastListedAtMs - Returns when the last response was requested that
   *   showed the entry of an instance, in milliseconds of the steady clock;
   *   infinite if that is not known.
   */
  constructor(
    returnWithinMs: () => number,
    lastListedAtMs: (instance: GroupInstance) => number = () => Infinity,
  ) {
    this.absences = new AbsentInstances(returnWithinMs);
    this.earlier = new EarlierDepartures(lastListedAtMs);
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
    const present = instances.map(({id, bornAtMs}) => ({id, bornAtMs}));
    this.earlier.update(record, nowMs);
    if (term > this.term) {
      this.term = term;
      this.primary = primary;
      this.departures = [];
      this.goneBefore = [];
      this.recorded = undefined;
      this.takenOff = [];
      this.heldPositions.clear();
      this.acknowledged = undefined;
      this.present = present;
    }
    // A promotion that takes effect late ends every hold.
    if (term === this.term && (record.orders ?? 0) > 0)
      this.heldPositions.clear();
    // An instance that has returned in the same incarnation has to report itself.
    this.departures = this.departures.filter(
      ({instance, bound}) =>
        bound !== undefined || !includes(present, instance),
    );
    this.addDepartures(this.present, present);
    this.goneBefore = this.goneBefore.filter(
      each => this.earlier.includes(each) && !includes(present, each),
    );
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
    const unbounded = this.departures
      .filter(({bound}) => bound === undefined)
      .map(({instance}) => instance);
    const answering = this.goneBefore.filter(each =>
      includes(this.answering, each),
    );
    return [...unbounded, ...answering];
  }

  /**
   * Instances that this proxy listed in the term although they were gone before it,
   * as its record says. One that runs without an entry may follow the primary.
   */
  get earlierDepartures(): readonly GroupInstance[] {
    return this.goneBefore;
  }

  /** Records which of the {@link earlierDepartures} follow the term; they count as departed in it. */
  recordAnswering(instances: readonly GroupInstance[]): void {
    this.answering = instances;
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
    const {unbounded, primary, bound} = this;
    const present = this.present.filter(each => !this.earlier.includes(each));
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
   * Replicas that were held in the term; each has confirmed nothing of it beyond
   * the position of its hold.
   */
  get holds(): HeldPositions {
    return this.heldPositions;
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
      if (this.earlier.includes(instance)) {
        this.goneBefore = [...this.goneBefore, instance];
        continue;
      }
      // The directory of this proxy may be behind that of the coordinator.
      const bound = includes(this.takenOff, instance)
        ? this.recorded?.departedPosition
        : this.heldPositions.find(instance);
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
