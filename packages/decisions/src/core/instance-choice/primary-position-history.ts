import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {ClockReading} from '../primary-change/index.js';
import type {ObservedPosition} from './types.js';
import {PositionSource} from './types.js';

/** Minimum time between two stored observations, in milliseconds. */
const RESOLUTION_MS = 20;

/** Minimum suspension that invalidates times of the steady clock, in milliseconds. */
const MINIMUM_SUSPENSION_MS = 15;

/** Maximum number of stored bounds; one is enough for the reads of its time. */
const MAXIMUM_BOUNDS = 8;

/** Maximum number of stored observations; at the resolution, five seconds. */
const MAXIMUM_OBSERVATIONS = 256;

/**
 * Positions reported by the primary of one group over time.
 *
 * The position of the primary, requested at time t, includes every commit
 * acknowledged before t. A replica that has reached this position is therefore
 * fresh enough for a read that allows data as old as t.
 */
export class PrimaryPositionHistory {
  private observations: ObservedPosition[] = [];
  /** Bounds from all replicas together, used if the primary could not be queried. */
  private upperBounds: ObservedPosition[] = [];
  private highest: LogPosition | undefined;
  private lastReading: ClockReading | undefined;
  /** Steady times before this one are invalid: their age is underestimated. */
  private validFromMs = -Infinity;

  /** The highest position reported by any instance. */
  get highestSeen(): LogPosition | undefined {
    return this.highest;
  }

  /** The newest observation of the primary. */
  get newest(): ObservedPosition | undefined {
    return this.observations.at(-1);
  }

  /** Records a position reported by any instance of the group. */
  recordSeen(position: LogPosition): void {
    if (this.highest !== undefined) {
      if (comparePositions(position, this.highest) <= 0) return;
    }
    this.highest = position;
  }

  /**
   * Discards the observations made before a suspension of the machine, during which
   * the steady clock stops. A forward jump of the wall clock has the same effect;
   * it only causes positions to be requested again.
   *
   * @param now - The current clock reading.
   */
  discardAfterSuspension(now: ClockReading): void {
    const last = this.lastReading;
    this.lastReading = now;
    if (last === undefined) return;
    const steadyMs = now.steadyMs - last.steadyMs;
    if (now.wallMs - last.wallMs - steadyMs < MINIMUM_SUSPENSION_MS) return;
    this.validFromMs = now.steadyMs;
    this.observations = [];
    this.upperBounds = [];
  }

  /**
   * Records a position reported by the primary, or stored at a change of primary.
   *
   * @param sentAtMs - When the request was sent, in milliseconds.
   * @param position - The position of the answer.
   * @param source - Where the position comes from.
   */
  recordObservation(
    sentAtMs: number,
    position: LogPosition,
    source: PositionSource = PositionSource.Primary,
  ): void {
    this.recordSeen(position);
    if (sentAtMs < this.validFromMs) return;
    const last = this.observations.at(-1);
    if (last !== undefined && sentAtMs <= last.sentAtMs) return;
    const previous = this.observations.at(-2);
    const isDense =
      last !== undefined &&
      previous !== undefined &&
      sentAtMs - previous.sentAtMs < RESOLUTION_MS;
    if (isDense) this.observations.pop();
    this.observations.push({sentAtMs, position, source});
    if (this.observations.length > MAXIMUM_OBSERVATIONS) {
      this.observations = this.observations.slice(-MAXIMUM_OBSERVATIONS / 2);
    }
  }

  /**
   * Records a position that includes every commit acknowledged before a time, but
   * that a primary may never report.
   *
   * @param requestedAtMs - The time, in milliseconds.
   * @param position - The position.
   */
  bound(requestedAtMs: number, position: LogPosition): void {
    if (requestedAtMs < this.validFromMs) return;
    const source = PositionSource.Survey;
    this.upperBounds.push({sentAtMs: requestedAtMs, position, source});
    this.upperBounds = this.upperBounds.slice(-MAXIMUM_BOUNDS);
  }

  /**
   * Finds the position that makes a replica fresh enough.
   *
   * @param notBeforeMs - Commits acknowledged before this time must be included.
   * @returns The oldest position that is recent enough, or undefined if neither
   *   the primary nor all replicas have been queried since.
   */
  findPositionSince(notBeforeMs: number): ObservedPosition | undefined {
    const isRecentEnough = ({sentAtMs}: ObservedPosition): boolean =>
      sentAtMs >= notBeforeMs;
    return (
      this.observations.find(isRecentEnough) ??
      this.upperBounds.find(isRecentEnough)
    );
  }

  /**
   * Returns when the primary is known to have reached a position.
   *
   * @param position - The position.
   * @returns The time, in milliseconds, or undefined if no stored observation
   *   includes the position.
   */
  reachedAtMs(position: LogPosition): number | undefined {
    return this.observations.find(
      observed => comparePositions(observed.position, position) >= 0,
    )?.sentAtMs;
  }

  /**
   * Returns the times between which a position was the newest of the primary.
   *
   * @param position - The position.
   * @returns When the primary had passed the position, and when it had not
   *   reached it yet, in milliseconds; undefined where no observation shows it.
   */
  bracket(position: LogPosition): {
    readonly passedAtMs: number | undefined;
    readonly notReachedAtMs: number | undefined;
  } {
    return {
      passedAtMs: this.observations.find(
        observed => comparePositions(observed.position, position) > 0,
      )?.sentAtMs,
      notReachedAtMs: this.observations.findLast(
        observed => comparePositions(observed.position, position) < 0,
      )?.sentAtMs,
    };
  }
}
