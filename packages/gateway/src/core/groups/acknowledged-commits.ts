import type {LogPosition} from '@sapphireglade/decisions';
import {higherPosition, leastCommitPosition} from '@sapphireglade/decisions';

/** The commits of one group that this process has acknowledged to callers. */
export class AcknowledgedCommits {
  private highest: LogPosition | undefined;
  private highestLeast: LogPosition | undefined;
  private hasUnknown = false;

  /**
   * Records that a commit is about to be acknowledged.
   *
   * @param position - Position of the primary in its answer; includes the commit.
   * @param before - A position that the primary's log had reached before the
   *   commit was sent; undefined if none is known or the commit may have written
   *   nothing.
   */
  record(position: LogPosition | undefined, before?: LogPosition): void {
    if (position === undefined) this.hasUnknown = true;
    this.highest = higherPosition(this.highest, position);
    const least = leastCommitPosition({before, answered: position});
    this.highestLeast = higherPosition(this.highestLeast, least);
  }

  /** Whether {@link position} includes every commit. */
  get isComplete(): boolean {
    return !this.hasUnknown;
  }

  /** Highest position of an acknowledged commit; undefined if there was none. */
  get position(): LogPosition | undefined {
    return this.highest;
  }

  /** Highest position that a log has certainly reached if it has every commit, if any is known. */
  get leastPosition(): LogPosition | undefined {
    return this.highestLeast;
  }
}
