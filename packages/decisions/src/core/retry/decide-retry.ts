import {ErrorKind, Outcome} from '../errors/index.js';
import type {RetryBudget} from './retry-budget.js';

/** A try that failed. */
export interface FailedRequestAttempt {
  /** What is known about the statement's fate. */
  readonly outcome: Outcome;
  readonly kind: ErrorKind;
  /** Whether running the statement again has the same effect. */
  readonly isIdempotent: boolean;
  /** How many tries there have been, this one included. */
  readonly attempts: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Most tries of one request. */
const MAXIMUM_ATTEMPTS = 3;

/** First pause before another try, in milliseconds. */
const INITIAL_DELAY_MS = 5;

/** A try with less time than this left is of no use, in milliseconds. */
const MINIMUM_ATTEMPT_MS = 10;

/**
 * Kinds that another owner or instance would not answer differently, or that
 * tell the caller to come back later.
 */
const NON_RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.InvalidInput,
  ErrorKind.InvalidSessionToken,
  ErrorKind.Unauthenticated,
  ErrorKind.Forbidden,
  ErrorKind.NotFound,
  ErrorKind.BodyTooLarge,
  ErrorKind.Overloaded,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.ConfirmationUnlikely,
  ErrorKind.NoFreshReplica,
  ErrorKind.TransactionLost,
  ErrorKind.StatementFailed,
  ErrorKind.RanUnconfirmed,
]);

/**
 * Decides whether a failed try is followed by another one.
 *
 * What certainly did not run may be sent again. What may have run may be sent
 * again only if it is repeatable.
 *
 * @param random - A number from 0 up to 1 that spreads the tries.
 * @returns The pause before the next try in milliseconds, or undefined if the
 *   failure is final.
 */
export function decideRetry(
  failed: FailedRequestAttempt,
  budget: RetryBudget,
  random: number,
): number | undefined {
  if (NON_RETRYABLE_KINDS.has(failed.kind)) return undefined;
  const isSafe = failed.outcome === Outcome.NotRun || failed.isIdempotent;
  if (!isSafe || failed.attempts >= MAXIMUM_ATTEMPTS) return undefined;
  const pauseMs =
    INITIAL_DELAY_MS * 2 ** (failed.attempts - 1) * (0.5 + random);
  if (failed.remainingMs - pauseMs < MINIMUM_ATTEMPT_MS) return undefined;
  return budget.tryWithdraw() ? pauseMs : undefined;
}
