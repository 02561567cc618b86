import type {RestartPolicy} from './types.js';

/** The failures of one child within the failure window. */
export interface FailureHistory {
  /** Times of the failures, in milliseconds, oldest first. */
  readonly failureTimesMs: readonly number[];
}

/** The decision after a failure of a child. */
export interface RestartDecision {
  /** The history with the failure added. */
  readonly history: FailureHistory;
  /** Delay before the restart, in milliseconds; null if the child is not restarted. */
  readonly backoffMs: number | null;
}

/**
 * Decides whether and when a failed child is restarted.
 *
 * @param history - Earlier failures of the child.
 * @param now - Time of the failure, in milliseconds.
 * @param policy - Limits and delays of restarts.
 */
export function decideRestart(
  history: FailureHistory,
  now: number,
  policy: RestartPolicy,
): RestartDecision {
  const recent = history.failureTimesMs.filter(
    time => now - time < policy.failureWindowMs,
  );
  const times = [...recent, now];
  if (times.length > policy.maximumFailures) {
    return {history: {failureTimesMs: times}, backoffMs: null};
  }
  const doubled = policy.initialBackoffMs * 2 ** recent.length;
  const backoffMs = Math.min(doubled, policy.maximumBackoffMs);
  return {history: {failureTimesMs: times}, backoffMs};
}
