import type {LogPosition} from '../groups/index.js';
import {higherPosition} from './held-reports.js';
import {includes, isSame} from './same-instances.js';
import type {GroupInstance} from './types.js';

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

/** The positions at which replicas were held during one term. */
export class HeldPositions {
  private holds: Hold[] = [];

  /** Returns the position of a hold that is certainly one of the given start; undefined if there is none. */
  find(instance: GroupInstance): LogPosition | undefined {
    return this.holds.find(
      hold => hold.isSettled && isSame(hold.instance, instance),
    )?.position;
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
  record(
    {id, bornAtMs}: GroupInstance,
    position: LogPosition,
    finalSinceMs: number | undefined,
  ): void {
    const instance = {id, bornAtMs};
    const before = this.holds.find(hold => isSame(hold.instance, instance));
    this.forget(instance);
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
  settle(
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
  forget(instance: GroupInstance): void {
    this.holds = this.holds.filter(
      ({instance: held}) => !isSame(held, instance),
    );
  }

  /** Forgets every hold; another coordinator may have ended them. */
  clear(): void {
    this.holds = [];
  }
}
