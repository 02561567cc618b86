import type {InstanceObservation, LogPosition} from '../../src/index.js';
import {InstanceRole} from '../../src/index.js';

/** Term of the whole world. */
export const TERM = 1;

/** Gives the lag of a replica for an entry appended at a time. */
export type LagFunction = (appendedAtMs: number) => number;

/** One instance of the world. */
export interface ReplicationModelInstance {
  readonly name: string;
  /** Left out for the primary. */
  readonly lagFunction?: LagFunction;
}

/**
 * A group whose true state is known at every moment: the times at which the
 * primary appended its entries, and when each reached each replica.
 */
export class ReplicationModel {
  private readonly arrivals = new Map<string, readonly number[]>();

  /**
   * @param appendTimes - When entry 1, 2, … was appended, in milliseconds.
   * @param instances - The primary and its replicas.
   */
  constructor(
    readonly appendTimes: readonly number[],
    readonly instances: readonly ReplicationModelInstance[],
  ) {
    for (const {name, lagFunction: lagOf} of instances) {
      this.arrivals.set(name, arrivalTimes(appendTimes, lagOf));
    }
  }

  /** The last entry that an instance has at a time. */
  positionAt(instance: string, timeMs: number): LogPosition {
    const position = countUpTo(this.arrivals.get(instance)!, timeMs);
    return {term: position === 0 ? 0 : TERM, position};
  }

  /** When an instance gets an entry, in milliseconds. */
  arrivalOf(instance: string, position: number): number {
    if (position === 0) return -Infinity;
    return this.arrivals.get(instance)![position - 1] ?? Infinity;
  }

  /**
   * Lists what long polls of every instance show, in the order of arrival.
   *
   * @param untilMs - When polling ends.
   * @param pollMs - Longest wait of one poll.
   * @param oneWayMs - Gives the latency of one message.
   * @param isLost - Says whether an answer is lost.
   */
  observe(
    untilMs: number,
    pollMs: number,
    oneWayMs: () => number,
    isLost: () => boolean,
  ): InstanceObservation[] {
    return this.instances
      .flatMap(instance =>
        this.observeOne(instance, untilMs, pollMs, oneWayMs, isLost),
      )
      .sort((left, right) => left.answeredAtMs - right.answeredAtMs);
  }

  private observeOne(
    {name, lagFunction: lagOf}: ReplicationModelInstance,
    untilMs: number,
    pollMs: number,
    oneWayMs: () => number,
    isLost: () => boolean,
  ): InstanceObservation[] {
    const seen: InstanceObservation[] = [];
    let sentAtMs = 0;
    let after = 0;
    while (sentAtMs < untilMs) {
      const reachedAtMs = sentAtMs + oneWayMs();
      const nextEntryAtMs = this.arrivalOf(name, after + 1);
      const shownAtMs = Math.min(
        reachedAtMs + pollMs,
        Math.max(reachedAtMs, nextEntryAtMs),
      );
      const answeredAtMs = shownAtMs + oneWayMs();
      const position = this.positionAt(name, shownAtMs);
      if (!isLost()) {
        after = position.position;
        const role = lagOf ? InstanceRole.Replica : InstanceRole.Primary;
        seen.push({
          instance: name,
          role,
          term: TERM,
          grantedTerm: TERM,
          position,
          sentAtMs,
          answeredAtMs,
        });
      }
      sentAtMs = answeredAtMs;
    }
    return seen;
  }
}

/** Entries arrive in order, so a slow one holds the later ones back. */
function arrivalTimes(
  appendTimes: readonly number[],
  lagOf: LagFunction | undefined,
): readonly number[] {
  if (lagOf === undefined) return appendTimes;
  let latestMs = -Infinity;
  return appendTimes.map(timeMs => {
    latestMs = Math.max(latestMs, timeMs + lagOf(timeMs));
    return latestMs;
  });
}

/** Counts the ascending times that are not past the given one. */
function countUpTo(times: readonly number[], timeMs: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (times[middle]! <= timeMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
