import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {ClockReading} from '../primary-change/index.js';
import type {ObservedPosition} from './types.js';
import {PositionSource} from './types.js';

/** Least distance between two kept observations, in milliseconds. */
const RESOLUTION_MS = 20;

/** Least suspension that makes times of the steady clock count as wrong, in milliseconds. */
const MINIMUM_SUSPENSION_MS = 15;

/** Most bounds that are kept; one is enough for the reads of its time. */
const MAXIMUM_BOUNDS = 8;

/** Most observations that are kept; at the resolution this is five seconds. */
const MAXIMUM_OBSERVATIONS = 256;

/**
 * Positions that the primary of one group showed over time.
 *
 * The primary's position, asked at time t, holds every commit that was
 * acknowledged before t. A replica that has this position is therefore fresh
 * enough for a read that allows data as old as t.
 */
export class PrimaryPositionHistory {
  private observations: ObservedPosition[] = [];
  /** What all replicas together showed, where the primary could not be asked. */
  private upperBounds: ObservedPosition[] = [];
  private highest: LogPosition | undefined;
  private lastReading: ClockReading | undefined;
  /** Times of the steady clock before this one are longer ago than they seem. */
  private validFromMs = -Infinity;

  /** The highest position that any instance has shown. */
  get highestSeen(): LogPosition | undefined {
    return this.highest;
  }

  /** The newest observation of the primary. */
  get newest(): ObservedPosition | undefined {
    return this.observations.at(-1);
  }

  /** Takes a position in that any instance of the group showed. */
  recordSeen(position: LogPosition): void {
    if (this.highest !== undefined) {
      if (comparePositions(position, this.highest) <= 0) return;
    }
    this.highest = position;
  }

  /**
   * Forgets what was observed before a suspension of the machine, during which
   * the steady clock stands still. The time of day may jump as well; then
   * positions are only asked for anew.
   *
   * @param now - What the clocks show.
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
   * Takes a position in that the primary showed, or that was recorded of it.
   *
   * @param sentAtMs - When the request was sent, in milliseconds.
   * @param position - The position of the answer.
   * @param source - Whose word it is.
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
   * Takes a position in that holds every commit acknowledged before a time,
   * but may never be shown by a primary.
   *
   * @param askedAtMs - The time, in milliseconds.
   * @param position - The position.
   */
  bound(askedAtMs: number, position: LogPosition): void {
    if (askedAtMs < this.validFromMs) return;
    const source = PositionSource.Survey;
    this.upperBounds.push({sentAtMs: askedAtMs, position, source});
    this.upperBounds = this.upperBounds.slice(-MAXIMUM_BOUNDS);
  }

  /**
   * Finds the position that makes a replica fresh enough.
   *
   * @param notBeforeMs - Commits acknowledged before this time must be held.
   * @returns The oldest position that is new enough, or nothing if neither
   *   the primary nor all replicas have been asked since.
   */
  findPositionSince(notBeforeMs: number): ObservedPosition | undefined {
    const isNewEnough = ({sentAtMs}: ObservedPosition): boolean =>
      sentAtMs >= notBeforeMs;
    return (
      this.observations.find(isNewEnough) ?? this.upperBounds.find(isNewEnough)
    );
  }
}
