import type {ReplicationLagState} from './replication-lag.js';
import {expectedConfirmationMs} from './replication-lag.js';

/** Shortest retry delay of a refused write, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Longest retry delay of a refused write, in milliseconds. */
const MAXIMUM_RETRY_AFTER_MS = 5_000;

/** Whether a write may run, given its expected time to confirmation. */
export interface WriteAdmission {
  readonly isAdmitted: boolean;
  /** Expected time to confirmation, in milliseconds. */
  readonly expectedMs: number;
  /** Time after which a refused write should be retried, in milliseconds. */
  readonly retryAfterMs: number;
}

/**
 * Decides whether a write could still be confirmed before its deadline.
 *
 * @param lag - Replication lag of the group.
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
