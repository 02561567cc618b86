import {ErrorKind} from '../errors/index.js';

/** What may follow when an instance did not serve a statement. */
export const RetryAction = {
  /** The caller gets the error. */
  Fail: 'fail',
  /** Another instance is asked at once. */
  OtherInstance: 'other-instance',
  /** The same instance is asked again after a pause. */
  SameInstanceAfterDelay: 'same-after-pause',
  /** The statement waits until another instance leads. */
  AwaitPrimary: 'await-primary',
} as const;

/** One of the steps. */
export type RetryAction = (typeof RetryAction)[keyof typeof RetryAction];

/** How a statement was not served. */
export interface FailedStatementAttempt {
  /** Kind of the refusal, or of the loss of the connection. */
  readonly kind: ErrorKind;
  /** Whether the statement only reads, or only begins a transaction. */
  readonly isRetryable: boolean;
  /** Whether a replica may serve it. */
  readonly allowsReplica: boolean;
  /** Whether it was sent to the primary. */
  readonly wasSentToPrimary: boolean;
  /** How many instances have failed to run it after they began. */
  readonly failedExecutions: number;
}

/** Most instances that may run a read and fail before the caller is told. */
const MAXIMUM_FAILED_EXECUTIONS = 2;

/**
 * Decides what follows when an instance did not serve a statement.
 *
 * A statement that may have run is sent again only if it is repeatable; one
 * that surely did not run is sent where it can be served.
 *
 * @param attempt - How the statement was not served.
 */
export function decideRetryAction(
  attempt: FailedStatementAttempt,
): RetryAction {
  const {
    kind,
    allowsReplica,
    wasSentToPrimary: wasOnPrimary,
    isRetryable: isRepeatable,
  } = attempt;
  switch (kind) {
    case ErrorKind.Overloaded:
      return allowsReplica && !wasOnPrimary
        ? RetryAction.OtherInstance
        : RetryAction.SameInstanceAfterDelay;
    case ErrorKind.NoFreshReplica:
      return wasOnPrimary
        ? RetryAction.SameInstanceAfterDelay
        : RetryAction.OtherInstance;
    case ErrorKind.NotPrimary:
    case ErrorKind.WrongInstance:
      return allowsReplica
        ? RetryAction.OtherInstance
        : RetryAction.AwaitPrimary;
    case ErrorKind.NoConnection:
      return allowsReplica
        ? RetryAction.OtherInstance
        : RetryAction.SameInstanceAfterDelay;
    case ErrorKind.RunFailed:
    case ErrorKind.RunTimedOut:
      return isRepeatable &&
        allowsReplica &&
        attempt.failedExecutions < MAXIMUM_FAILED_EXECUTIONS
        ? RetryAction.OtherInstance
        : RetryAction.Fail;
    default:
      return RetryAction.Fail;
  }
}
