import type {LogPosition} from '../groups/index.js';
import type {PrimaryPositionHistory} from './primary-position-history.js';

/** Added to a lag that was observed as not over yet, in milliseconds. */
const MINIMUM_EXCESS_MS = 1;

/**
 * Estimates how long after the primary a replica shows a commit.
 *
 * Answers a load of reads on replicas that are behind: each read sent there too
 * early costs a round trip and is refused. Every position that a replica shows
 * bounds its lag from both sides. It is at least as long ago as the primary is
 * known to have been further, and at most as long ago as the primary is known to
 * have been before that position. The estimate stays within these bounds, so it
 * follows a replica that falls behind or catches up after one answer.
 */
export class ReplicationLagEstimate {
  private estimateMs = 0;
  private recordedAtMs = -Infinity;

  /** When the replica last showed a position, in milliseconds. */
  get lastRecordedAtMs(): number {
    return this.recordedAtMs;
  }

  /** The estimate, in milliseconds. */
  get currentMs(): number {
    return this.estimateMs;
  }

  /**
   * Records a position that the replica showed.
   *
   * @param position - The position.
   * @param sentAtMs - When the replica was asked, in milliseconds.
   * @param answeredAtMs - When its answer arrived, in milliseconds.
   * @param primary - Positions of the primary.
   */
  record(
    position: LogPosition,
    sentAtMs: number,
    answeredAtMs: number,
    primary: PrimaryPositionHistory,
  ): void {
    const {passedAtMs, notReachedAtMs} = primary.bracket(position);
    const leastMs =
      passedAtMs === undefined ? 0 : sentAtMs - passedAtMs + MINIMUM_EXCESS_MS;
    const mostMs =
      notReachedAtMs === undefined ? Infinity : answeredAtMs - notReachedAtMs;
    this.estimateMs = Math.min(Math.max(this.estimateMs, leastMs), mostMs);
    this.recordedAtMs = answeredAtMs;
  }

  /**
   * Estimates how long the replica needs until it shows a position.
   *
   * @param position - The position.
   * @param nowMs - The time, in milliseconds.
   * @param primary - Positions of the primary.
   * @returns The time, in milliseconds; 0 if it should show the position now.
   */
  timeToReach(
    position: LogPosition,
    nowMs: number,
    primary: PrimaryPositionHistory,
  ): number {
    const reachedAtMs = primary.reachedAtMs(position) ?? nowMs;
    return Math.max(0, reachedAtMs + this.estimateMs - nowMs);
  }
}
