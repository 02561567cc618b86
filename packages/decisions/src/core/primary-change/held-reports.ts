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

/**
 * Reports of the instances that are held during a change of primary.
 *
 * A restart ends the hold of an instance and may have cost it its log. What it
 * had reported before still counts as a position that may be acknowledged.
 */
export class HeldReports {
  private readonly held = new Map<
    string,
    {readonly report: ReplicationReport; readonly incarnation: Incarnation}
  >();
  private reported: GroupInstance[] = [];
  private highest: LogPosition | undefined;

  /** Highest position that any instance has reported since the change began. */
  get highestPosition(): LogPosition | undefined {
    return this.highest;
  }

  /** Records the report of an instance and the incarnation that was held. */
  record(report: ReplicationReport, incarnation: Incarnation): void {
    this.held.set(report.id, {report, incarnation});
    this.reported.push({id: report.id, bornAtMs: incarnation});
    this.highest = higherPosition(this.highest, report.received);
  }

  /** Returns the latest report of an instance, if it has reported. */
  find(id: string): ReplicationReport | undefined {
    return this.held.get(id)?.report;
  }

  /**
   * Records a further report of a held instance.
   *
   * @returns Whether the instance has received nothing and followed nobody since
   *   its last report, so that its hold has stood all the while.
   */
  confirm(report: ReplicationReport, incarnation: Incarnation): boolean {
    const previous = this.find(report.id);
    this.record(report, incarnation);
    return (
      previous !== undefined &&
      !report.isPrimary &&
      report.term === previous.term &&
      comparePositions(report.received, previous.received) === 0
    );
  }

  /** Returns whether an incarnation of an instance is held. */
  isHeld(id: string, incarnation: Incarnation): boolean {
    const entry = this.held.get(id);
    return entry !== undefined && entry.incarnation === incarnation;
  }

  /**
   * Returns whether an incarnation has reported all that it can have, even if it
   * is gone by now.
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
    this.reported = [];
  }
}
