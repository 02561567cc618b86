import {steadyNowMs} from '../time/index.js';

/**
 * Time after the removal of an instance in which the other replicas may lack
 * commits that only it and the primary held, in milliseconds; replicas lag for
 * ten seconds at times.
 */
const REPLICA_CATCH_UP_MS = 60_000;

/**
 * Time that a process must have tracked a group before its list of recently
 * removed instances is complete, in milliseconds; the directory drops silent
 * instances within four seconds.
 */
const SETTLED_MS = 10_000;

/** The recently removed instances of one group. */
export class MemberRemovals {
  /** The removed instances, with their steady-clock time of removal. */
  private removed: {readonly id: string; readonly atMs: number}[] = [];
  private trackedSinceMs = steadyNowMs();

  /** Forgets all removals; earlier ones are unknown from now on. */
  restart(): void {
    this.removed = [];
    this.trackedSinceMs = steadyNowMs();
  }

  /** Records the removal of an instance. */
  record(id: string): void {
    this.removed.push({id, atMs: steadyNowMs()});
  }

  /**
   * Returns how many instances may have been removed recently, except the
   * primary. A process that has just started may not know of one.
   *
   * @param primary - The recorded primary, if any.
   * @param nowMs - The time, in milliseconds of the steady clock.
   */
  countExcept(primary: string | undefined, nowMs: number): number {
    this.removed = this.removed.filter(
      ({atMs}) => nowMs - atMs < REPLICA_CATCH_UP_MS,
    );
    const others = this.removed.filter(({id}) => id !== primary);
    const isNew = nowMs - this.trackedSinceMs < SETTLED_MS;
    return others.length + Number(isNew);
  }
}
