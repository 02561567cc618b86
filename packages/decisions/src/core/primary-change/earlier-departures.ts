import {includes, isSame} from './same-instances.js';
import type {GroupInstance, PrimaryRecord} from './types.js';

/** An instance that a record leaves out, and when this proxy learned of that. */
interface LeftOut {
  readonly instance: GroupInstance;
  /** In milliseconds of the steady clock. */
  readonly sinceMs: number;
}

/**
 * Instances that were gone before the term of a record began, as its coordinator
 * knew, although the directory of this proxy may still have them.
 *
 * What an absent instance had confirmed until then is included in the start of the
 * term or in the departed position of the record. An instance that an earlier term
 * named and that this one does not list had gone as well. Either counts again once a
 * record lists it, or a later response than the record shows its entry.
 */
export class EarlierDepartures {
  private term = 0;
  /** Instances that the last record named. */
  private named: readonly GroupInstance[] = [];
  private leftOut: readonly LeftOut[] = [];

  /**
   * @param lastListedAtMs - Returns when the last response was requested that
   *   showed the entry of an instance, in milliseconds of the steady clock.
   */
  constructor(
    private readonly lastListedAtMs: (instance: GroupInstance) => number,
  ) {}

  /**
   * Updates the record. One of an earlier term than the last one is ignored.
   *
   * @param record - The group's record.
   * @param nowMs - Time of the steady clock, in milliseconds.
   */
  update(record: PrimaryRecord, nowMs: number): void {
    const {term, confirmers} = record;
    if (term < this.term) return;
    const before = term > this.term ? [] : this.leftOut;
    const named = term > this.term ? this.named : [];
    this.term = term;
    this.named = namedBy(record);
    if (confirmers === undefined) {
      this.leftOut = before;
      return;
    }
    const {instances, absent = []} = confirmers;
    const added = [...named, ...absent]
      .filter(each => !before.some(known => isSame(known.instance, each)))
      .map(instance => ({instance, sinceMs: nowMs}));
    this.leftOut = [...before, ...added].filter(
      ({instance}) => !includes(instances, instance),
    );
  }

  /** Returns whether an instance was gone before the term began, and has not come back since. */
  includes(instance: GroupInstance): boolean {
    const found = this.leftOut.find(each => isSame(each.instance, instance));
    return found !== undefined && this.lastListedAtMs(instance) < found.sinceMs;
  }
}

/** Returns the instances that a record names with their incarnations. */
function namedBy({
  primary,
  primaryBornAtMs,
  confirmers,
}: PrimaryRecord): GroupInstance[] {
  const {instances = [], absent = []} = confirmers ?? {};
  const leader = {id: primary, bornAtMs: primaryBornAtMs};
  return [
    ...instances,
    ...absent,
    ...(primaryBornAtMs === undefined ? [] : [leader]),
  ];
}
