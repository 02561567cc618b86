import type {LogPosition} from '../groups/index.js';
import {comparePositions, majorityOf} from '../groups/index.js';

/** Number of samples of the primary's position that are kept. */
const MAXIMUM_POSITION_SAMPLES = 256;

/** How long a measured lag is valid, in milliseconds. */
const LAG_VALIDITY_MS = 5_000;

/** A position of the primary and when it was first observed. */
interface PositionSample {
  readonly position: LogPosition;
  readonly observedAtMs: number;
}

/** Latest measured lag of one replica. */
interface ReplicaLag {
  readonly position: LogPosition;
  /** Time by which the replica trailed the primary, in milliseconds. */
  readonly lagMs: number;
  /** When the lag was measured, in milliseconds. */
  readonly measuredAtMs: number;
}

/** Replication lag of the replicas of a group. */
export interface ReplicationLagState {
  /** Positions of the primary, oldest first. */
  readonly primary: readonly PositionSample[];
  readonly replicas: ReadonlyMap<string, ReplicaLag>;
}

/** State before any observation. */
export const EMPTY_REPLICATION_LAG: ReplicationLagState = {
  primary: [],
  replicas: new Map(),
};

/** Records a position of the primary. */
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
  const keptSamples = isNewTerm
    ? []
    : state.primary.slice(1 - MAXIMUM_POSITION_SAMPLES);
  return {...state, primary: [...keptSamples, {position, observedAtMs: nowMs}]};
}

/** Records a position of a replica and measures its lag. */
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
    sample => comparePositions(sample.position, position) <= 0,
  );
  const lagMs = reached === undefined ? 0 : nowMs - reached.observedAtMs;
  const lag = {position, lagMs, measuredAtMs: nowMs};
  return {...state, replicas: new Map(state.replicas).set(replica, lag)};
}

/**
 * Estimates how long a write that runs now takes to reach a majority.
 *
 * @param instances - Number of instances in the group, including the primary.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns The time, in milliseconds; 0 before any lag was measured.
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

/** Returns the last measured lag, or the longer one that it has grown to. */
function currentLagMs(
  state: ReplicationLagState,
  replica: ReplicaLag,
  nowMs: number,
): number {
  const firstMissing = state.primary.find(
    sample => comparePositions(sample.position, replica.position) > 0,
  );
  const behindMs =
    firstMissing === undefined ? 0 : nowMs - firstMissing.observedAtMs;
  const isRecent = nowMs - replica.measuredAtMs < LAG_VALIDITY_MS;
  return Math.max(behindMs, isRecent ? replica.lagMs : 0);
}
