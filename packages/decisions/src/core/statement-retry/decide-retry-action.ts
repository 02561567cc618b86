import {ErrorKind} from '../errors/index.js';

/** Actions after an instance did not serve a statement. */
export const RetryAction = {
  /** The error is returned to the caller. */
  Fail: 'fail',
  /** The statement is sent to another instance at once. */
  OtherInstance: 'other-instance',
  /** The statement is sent to the same instance again after a delay. */
  SameInstanceAfterDelay: 'same-after-pause',
  /** The statement waits until another instance is the primary. */
  AwaitPrimary: 'await-primary',
} as const;

/** A value of {@link RetryAction}. */
export type RetryAction = (typeof RetryAction)[keyof typeof RetryAction];

/** A failed attempt to execute a statement. */
export interface FailedStatementAttempt {
  /** Error kind of the refusal or of the lost connection. */
  readonly kind: ErrorKind;
  /** Whether the statement only reads or only begins a transaction. */
  readonly isRetryable: boolean;
  /** Whether a replica may serve it. */
  readonly allowsReplica: boolean;
  /** Whether it was sent to the primary. */
  readonly wasSentToPrimary: boolean;
  /** Whether no connection to the instance could be opened for some time. */
  readonly isUnreachable: boolean;
  /** Number of instances on which it failed after its execution began. */
  readonly failedExecutions: number;
}

/** Maximum failed executions of a read before the error is returned. */
const MAXIMUM_FAILED_EXECUTIONS = 2;

/**
 * Decides the action after an instance did not serve a statement.
 *
 * A statement that may have run is sent again only if it is retryable. A statement
 * that certainly did not run is sent to an instance that can serve it.
 *
 * @param attempt - The failed attempt.
 */
export function decideRetryAction(
  attempt: FailedStatementAttempt,
): RetryAction {
  const {kind, allowsReplica, wasSentToPrimary, isRetryable} = attempt;
  switch (kind) {
    case ErrorKind.Overloaded:
      return allowsReplica && !wasSentToPrimary
        ? RetryAction.OtherInstance
        : RetryAction.SameInstanceAfterDelay;
    case ErrorKind.NoFreshReplica:
      return wasSentToPrimary
        ? RetryAction.SameInstanceAfterDelay
        : RetryAction.OtherInstance;
    case ErrorKind.NotPrimary:
    case ErrorKind.WrongInstance:
      return allowsReplica
        ? RetryAction.OtherInstance
        : RetryAction.AwaitPrimary;
    case ErrorKind.NoConnection:
      if (allowsReplica) return RetryAction.OtherInstance;
      // Waiting for an instance that is down only delays the refusal.
      return attempt.isUnreachable
        ? RetryAction.Fail
        : RetryAction.SameInstanceAfterDelay;
    case ErrorKind.RunFailed:
    case ErrorKind.RunTimedOut:
      return isRetryable &&
        allowsReplica &&
        attempt.failedExecutions < MAXIMUM_FAILED_EXECUTIONS
        ? RetryAction.OtherInstance
        : RetryAction.Fail;
    default:
      return RetryAction.Fail;
  }
}
