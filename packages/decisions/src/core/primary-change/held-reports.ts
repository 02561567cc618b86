import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {GroupInstance, Incarnation, ReplicationReport} from './types.js';

/** Returns the higher of two positions, or the only one that is known. */
export function higherPosition(
  left: LogPosition | undefined,
  right: LogPosition | undefined,
): LogPosition | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return comparePositions(left, right) >= 0 ? left : right;
}

/** The latest report of an instance. */
interface HeldReport {
  readonly report: ReplicationReport;
  readonly incarnation: Incarnation;
  /** When the instance was asked, in milliseconds. */
  readonly askedAtMs: number;
  /** When its first report since it is held without interruption arrived, in milliseconds. */
  readonly heldSinceMs: number;
}

/**
 * Reports of the instances that are held during a change of primary.
 *
 * A restart ends the hold of an instance and may have cost it its log. What it
 * had reported before still counts as a position that may be acknowledged.
 */
export class HeldReports {
  private readonly held = new Map<string, HeldReport>();
  private readonly interrupted = new Set<string>();
  private readonly settled = new Set<string>();
  private reported: GroupInstance[] = [];
  private highest: LogPosition | undefined;

  /** Highest position that any instance has reported since the change began. */
  get highestPosition(): LogPosition | undefined {
    return this.highest;
  }

  /**
   * Records the report of an instance.
   *
   * @param report - The report.
   * @param incarnation - The incarnation that was held.
   * @param askedAtMs - When it was asked, in milliseconds.
   * @param heldSinceMs - When the report arrived, in milliseconds.
   */
  record(
    report: ReplicationReport,
    incarnation: Incarnation,
    askedAtMs = 0,
    heldSinceMs = askedAtMs,
  ): void {
    this.interrupted.delete(report.id);
    this.held.set(report.id, {report, incarnation, askedAtMs, heldSinceMs});
    if (report.hasLeftTerm === true) return;
    this.highest = higherPosition(this.highest, report.received);
  }

  /**
   * Returns the latest report of an instance, if it has reported.
   *
   * @param id - Identifier of the instance.
   * @param sinceMs - Time after which it must have been asked, in milliseconds.
   */
  find(id: string, sinceMs = -Infinity): ReplicationReport | undefined {
    const entry = this.held.get(id);
    return entry !== undefined && entry.askedAtMs >= sinceMs
      ? entry.report
      : undefined;
  }

  /**
   * Records a further report of a held instance.
   *
   * @param report - The report.
   * @param incarnation - The incarnation that was held.
   * @param askedAtMs - When it was asked, in milliseconds.
   * @param answeredAtMs - When the report arrived, in milliseconds.
   * @returns Whether the instance has received nothing and followed nobody since
   *   its last report, so that its hold has stood all the while.
   */
  confirm(
    report: ReplicationReport,
    incarnation: Incarnation,
    askedAtMs = 0,
    answeredAtMs = askedAtMs,
  ): boolean {
    const {id} = report;
    const previous = this.isHeld(id, incarnation)
      ? this.held.get(id)
      : undefined;
    const isUnchanged =
      previous !== undefined &&
      !this.interrupted.has(id) &&
      !report.isPrimary &&
      report.term === previous.report.term &&
      comparePositions(report.received, previous.report.received) === 0;
    const heldSinceMs = isUnchanged ? previous.heldSinceMs : answeredAtMs;
    if (!isUnchanged) {
      this.unsettleEmpty(id);
      this.forget(id, incarnation);
    }
    this.record(report, incarnation, askedAtMs, heldSinceMs);
    return isUnchanged;
  }

  /**
   * Handles that the hold of an instance has ended, although it may have the same position.
   *
   * @param id - Identifier of the instance.
   * @param incarnation - The incarnation that is listed. If it is another one than
   *   was held, the last report was not that of a later start.
   */
  interrupt(id: string, incarnation: Incarnation): void {
    const entry = this.held.get(id);
    if (entry === undefined) return;
    this.unsettleEmpty(id);
    if (entry.incarnation !== incarnation) {
      if (!this.interrupted.has(id)) this.attribute(entry);
      return;
    }
    this.interrupted.add(id);
    this.forget(id, incarnation);
  }

  /**
   * Handles a list of the instances. An instance that has started again is listed
   * by its former start for a while, so its report is that of the listed start only
   * if the list still has it later than that. What an instance reported once
   * nothing could be acknowledged any more counts although it starts again, unless
   * its log was empty: it may have started twice, and the list never had the start
   * that reported.
   *
   * @param listed - The instances of the list.
   * @param sinceMs - Time after which nothing was acknowledged, in milliseconds;
   *   infinite if that is not known yet.
   * @param isListedSince - Returns whether the list has all that started before a
   *   time, in milliseconds.
   */
  settle(
    listed: readonly GroupInstance[],
    sinceMs: number,
    isListedSince: (timeMs: number) => boolean,
  ): void {
    for (const {id, bornAtMs} of listed) {
      const entry = this.held.get(id);
      if (entry === undefined || entry.incarnation !== bornAtMs) continue;
      if (!isListedSince(entry.heldSinceMs)) continue;
      if (entry.askedAtMs >= sinceMs) this.settled.add(id);
      if (this.settled.has(id) || !this.interrupted.has(id))
        this.attribute(entry);
    }
  }

  /** Returns whether an instance has reported all that it can have confirmed. */
  isSettled(id: string): boolean {
    return this.settled.has(id);
  }

  /** Returns whether the report of an instance is one of its listed start, or no later start can have confirmed a commit. */
  isCounted(id: string, incarnation: Incarnation): boolean {
    return this.isHeld(id, incarnation) || this.isSettled(id);
  }

  /** Requires the reports to be settled again, because commits may have been acknowledged since. */
  unsettle(): void {
    this.settled.clear();
  }

  /** Returns whether an incarnation of an instance is held. */
  isHeld(id: string, incarnation: Incarnation): boolean {
    const entry = this.held.get(id);
    return entry !== undefined && entry.incarnation === incarnation;
  }

  /**
   * Returns whether an incarnation has certainly reported all that it can have,
   * even if it is gone by now.
   */
  hasReported({id, bornAtMs}: GroupInstance): boolean {
    return this.reported.some(
      each => each.id === id && each.bornAtMs === bornAtMs,
    );
  }

  /**
   * Requires new reports, because another instance may lead. The positions that
   * were reported still count as acknowledged, but the instances may have
   * confirmed more since.
   */
  clear(): void {
    this.held.clear();
    this.interrupted.clear();
    this.settled.clear();
    this.reported = [];
  }

  /** Counts a report as that of the incarnation by which its instance was listed. */
  private attribute({report, incarnation}: HeldReport): void {
    const instance = {id: report.id, bornAtMs: incarnation};
    // One that has just lost its log may be listed by its former start.
    if (isEmpty(report) || this.hasReported(instance)) return;
    this.reported.push(instance);
  }

  /** Handles that an instance is not as it reported last: an empty log may be that of a start that was never listed. */
  private unsettleEmpty(id: string): void {
    const entry = this.held.get(id);
    if (entry !== undefined && isEmpty(entry.report)) this.settled.delete(id);
  }

  /** Requires a new report of an incarnation, unless nothing was acknowledged after its last one. */
  private forget(id: string, incarnation: Incarnation): void {
    if (this.settled.has(id)) return;
    this.reported = this.reported.filter(
      each => each.id !== id || each.bornAtMs !== incarnation,
    );
  }
}

function isEmpty({received}: ReplicationReport): boolean {
  return received.position === 0;
}
