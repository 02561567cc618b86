import type {LogPosition} from '../groups/index.js';
import {comparePositions, majorityOf} from '../groups/index.js';

/** How many sights of the primary's position are kept. */
const MAXIMUM_POSITION_SAMPLES = 256;

/** How long a measured lag is believed, in milliseconds. */
const LAG_VALIDITY_MS = 5_000;

/** A position of the primary and when it was first seen. */
interface PositionSample {
  readonly position: LogPosition;
  readonly observedAtMs: number;
}

/** What is known of one replica's lag. */
interface ReplicaLag {
  readonly position: LogPosition;
  /** Time from the primary's position to the replica's, in milliseconds. */
  readonly lagMs: number;
  /** When the lag was measured, in milliseconds. */
  readonly measuredAtMs: number;
}

/** How far the replicas of a group are behind its primary. */
export interface ReplicationLagState {
  /** Positions of the primary, oldest first. */
  readonly primary: readonly PositionSample[];
  readonly replicas: ReadonlyMap<string, ReplicaLag>;
}

/** Before anything was seen. */
export const EMPTY_REPLICATION_LAG: ReplicationLagState = {
  primary: [],
  replicas: new Map(),
};

/** Takes in a position of the primary. */
export function observePrimaryPosition(
  state: ReplicationLagState,
  position: LogPosition,
  nowMs: number,
): ReplicationLagState {
  const last = state.primary.at(-1);
  if (last !== undefined && comparePositions(position, last.position) <= 0) {
    return state;
  }
  const isNewTerm = last !== undefined && last.position.term !== position.term;
  const kept = isNewTerm
    ? []
    : state.primary.slice(1 - MAXIMUM_POSITION_SAMPLES);
  return {...state, primary: [...kept, {position, observedAtMs: nowMs}]};
}

/** Takes in a position of a replica. */
export function observeReplicaPosition(
  state: ReplicationLagState,
  replica: string,
  position: LogPosition,
  nowMs: number,
): ReplicationLagState {
  const known = state.replicas.get(replica);
  if (known !== undefined && comparePositions(position, known.position) <= 0) {
    return state;
  }
  const reached = state.primary.findLast(
    sight => comparePositions(sight.position, position) <= 0,
  );
  const lagMs = reached === undefined ? 0 : nowMs - reached.observedAtMs;
  const lag = {position, lagMs, measuredAtMs: nowMs};
  return {...state, replicas: new Map(state.replicas).set(replica, lag)};
}

/**
 * Estimates how long a majority will take to hold a write that runs now.
 *
 * @param instances - Number of instances in the group, the primary included.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns The time, in milliseconds; 0 while nothing is known.
 */
export function expectedConfirmationMs(
  state: ReplicationLagState,
  instances: number,
  nowMs: number,
): number {
  const needed = majorityOf(instances) - 1;
  if (needed === 0) return 0;
  const lags = [...state.replicas.values()]
    .map(replica => currentLagMs(state, replica, nowMs))
    .sort((left, right) => left - right);
  return lags[needed - 1] ?? 0;
}

/** The lag last measured, or the time that it has grown to since. */
function currentLagMs(
  state: ReplicationLagState,
  replica: ReplicaLag,
  nowMs: number,
): number {
  const missing = state.primary.find(
    sight => comparePositions(sight.position, replica.position) > 0,
  );
  const behindMs = missing === undefined ? 0 : nowMs - missing.observedAtMs;
  const isBelieved = nowMs - replica.measuredAtMs < LAG_VALIDITY_MS;
  return Math.max(behindMs, isBelieved ? replica.lagMs : 0);
}
