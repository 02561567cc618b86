import {ErrorKind} from '../errors/index.js';

/** What may follow when an instance did not serve a statement. */
export const NextStep = {
  /** The caller gets the error. */
  Fail: 'fail',
  /** Another instance is asked at once. */
  OtherInstance: 'other-instance',
  /** The same instance is asked again after a pause. */
  SameAfterPause: 'same-after-pause',
  /** The statement waits until another instance leads. */
  AwaitPrimary: 'await-primary',
} as const;

/** One of the steps. */
export type NextStep = (typeof NextStep)[keyof typeof NextStep];

/** How a statement was not served. */
export interface FailedAttempt {
  /** Kind of the refusal, or of the loss of the connection. */
  readonly kind: ErrorKind;
  /** Whether the statement only reads, or only begins a transaction. */
  readonly isRepeatable: boolean;
  /** Whether a replica may serve it. */
  readonly allowsReplica: boolean;
  /** Whether it was sent to the primary. */
  readonly wasOnPrimary: boolean;
  /** How many instances have failed to run it after they began. */
  readonly failedRuns: number;
}

/** Most instances that may run a read and fail before the caller is told. */
const MAXIMUM_FAILED_RUNS = 2;

/**
 * Decides what follows when an instance did not serve a statement.
 *
 * A statement that may have run is sent again only if it is repeatable; one
 * that surely did not run is sent where it can be served.
 *
 * @param attempt - How the statement was not served.
 */
export function decideNextStep(attempt: FailedAttempt): NextStep {
  const {kind, allowsReplica, wasOnPrimary, isRepeatable} = attempt;
  switch (kind) {
    case ErrorKind.Overloaded:
      return allowsReplica && !wasOnPrimary
        ? NextStep.OtherInstance
        : NextStep.SameAfterPause;
    case ErrorKind.NoFreshReplica:
      return wasOnPrimary ? NextStep.SameAfterPause : NextStep.OtherInstance;
    case ErrorKind.NotPrimary:
    case ErrorKind.WrongInstance:
      return allowsReplica ? NextStep.OtherInstance : NextStep.AwaitPrimary;
    case ErrorKind.NoConnection:
      return allowsReplica ? NextStep.OtherInstance : NextStep.SameAfterPause;
    case ErrorKind.RunFailed:
    case ErrorKind.RunTimedOut:
      return isRepeatable &&
        allowsReplica &&
        attempt.failedRuns < MAXIMUM_FAILED_RUNS
        ? NextStep.OtherInstance
        : NextStep.Fail;
    default:
      return NextStep.Fail;
  }
}
