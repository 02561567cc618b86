import type {ReplicationLagState} from './replication-lag.js';
import {expectedConfirmationMs} from './replication-lag.js';

/** Shortest time after which a refused write should come back. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Longest time after which a refused write should come back. */
const MAXIMUM_RETRY_AFTER_MS = 5_000;

/** Whether a write may run, seen from its confirmation. */
export interface WriteAdmission {
  readonly isAdmitted: boolean;
  /** How long confirmation should take, in milliseconds. */
  readonly expectedMs: number;
  /** When a refused write should come back, in milliseconds from now. */
  readonly retryAfterMs: number;
}

/**
 * Decides whether a write could still be confirmed before its deadline.
 *
 * @param lag - The lag of the group's replicas.
 * @param instances - Number of instances in the group.
 * @param remainingMs - Time to the deadline, in milliseconds.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function admitWrite(
  lag: ReplicationLagState,
  instances: number,
  remainingMs: number,
  nowMs: number,
): WriteAdmission {
  const expectedMs = expectedConfirmationMs(lag, instances, nowMs);
  const missingMs = expectedMs - remainingMs;
  const retryAfterMs = Math.min(
    MAXIMUM_RETRY_AFTER_MS,
    Math.max(MINIMUM_RETRY_AFTER_MS, Math.ceil(missingMs)),
  );
  return {isAdmitted: missingMs <= 0, expectedMs, retryAfterMs};
}
