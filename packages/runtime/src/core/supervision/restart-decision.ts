import type {RestartPolicy} from './types.js';

/** The failures of one child that still count. */
export interface FailureHistory {
  /** Times of the failures, in milliseconds, oldest first. */
  readonly failureTimesMs: readonly number[];
}

/** What to do about a failure. */
export interface RestartDecision {
  /** The history with the failure added. */
  readonly history: FailureHistory;
  /** Wait before the restart, in milliseconds; null to give up. */
  readonly backoffMs: number | null;
}

/**
 * Decides whether a failed child is started again.
 *
 * @param history - Earlier failures of the child.
 * @param now - Time of the failure, in milliseconds.
 * @param policy - The limits.
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
