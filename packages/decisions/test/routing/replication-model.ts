import type {InstanceObservation, LogPosition} from '../../src/index.js';
import {InstanceRole} from '../../src/index.js';

/** Term of all entries in the model. */
export const TERM = 1;

/** Returns the lag of a replica for an entry appended at a time, in milliseconds. */
export type LagFunction = (appendedAtMs: number) => number;

/** One instance of the model. */
export interface ReplicationModelInstance {
  readonly name: string;
  /** Left out for the primary. */
  readonly lagFunction?: LagFunction;
}

/**
 * A simulated group with a known true state at every time: when the primary
 * appended each entry, and when each entry reached each replica.
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
    for (const {name, lagFunction} of instances) {
      this.arrivals.set(name, arrivalTimes(appendTimes, lagFunction));
    }
  }

  /** Returns the position of the last entry that an instance has at a time. */
  positionAt(instance: string, timeMs: number): LogPosition {
    const position = countUpTo(this.arrivals.get(instance)!, timeMs);
    return {term: position === 0 ? 0 : TERM, position};
  }

  /** Returns when an instance receives an entry, in milliseconds. */
  arrivalOf(instance: string, position: number): number {
    if (position === 0) return -Infinity;
    return this.arrivals.get(instance)![position - 1] ?? Infinity;
  }

  /**
   * Returns the answers to long polls of every instance, in order of arrival.
   *
   * @param untilMs - When polling ends, in milliseconds.
   * @param pollMs - Longest duration of one poll, in milliseconds.
   * @param oneWayMs - Returns the latency of one message, in milliseconds.
   * @param isLost - Returns whether an answer is lost.
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
    {name, lagFunction}: ReplicationModelInstance,
    untilMs: number,
    pollMs: number,
    oneWayMs: () => number,
    isLost: () => boolean,
  ): InstanceObservation[] {
    const observations: InstanceObservation[] = [];
    let sentAtMs = 0;
    let after = 0;
    while (sentAtMs < untilMs) {
      const reachedAtMs = sentAtMs + oneWayMs();
      const nextEntryAtMs = this.arrivalOf(name, after + 1);
      const reportedAtMs = Math.min(
        reachedAtMs + pollMs,
        Math.max(reachedAtMs, nextEntryAtMs),
      );
      const answeredAtMs = reportedAtMs + oneWayMs();
      const position = this.positionAt(name, reportedAtMs);
      if (!isLost()) {
        after = position.position;
        const role = lagFunction ? InstanceRole.Replica : InstanceRole.Primary;
        observations.push({
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
    return observations;
  }
}

/** Entries arrive in order, so a slow entry delays the later ones. */
function arrivalTimes(
  appendTimes: readonly number[],
  lagFunction: LagFunction | undefined,
): readonly number[] {
  if (lagFunction === undefined) return appendTimes;
  let latestMs = -Infinity;
  return appendTimes.map(timeMs => {
    latestMs = Math.max(latestMs, timeMs + lagFunction(timeMs));
    return latestMs;
  });
}

/** Counts the ascending times that are not later than the given one. */
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
