import {ErrorKind, Outcome} from '../errors/index.js';
import type {RetryBudget} from './retry-budget.js';

/** A failed attempt to execute a request. */
export interface FailedRequestAttempt {
  /** Outcome of the statement as far as it is known. */
  readonly outcome: Outcome;
  readonly kind: ErrorKind;
  /** Whether executing the statement again has the same effect. */
  readonly isIdempotent: boolean;
  /** Number of attempts so far, this one included. */
  readonly attempts: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Maximum number of attempts of one request. */
const MAXIMUM_ATTEMPTS = 3;

/** Initial delay before a retry, in milliseconds; doubles with each attempt. */
const INITIAL_DELAY_MS = 5;

/** Minimum time that must remain for a retry, in milliseconds. */
const MINIMUM_ATTEMPT_MS = 10;

/**
 * Error kinds that another owner or instance would return as well, or that ask
 * the caller to retry later.
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
 * Decides whether a failed request is retried.
 *
 * A request that certainly did not run may be sent again. A request that may have
 * run is sent again only if it is idempotent.
 *
 * @param random - A random number in [0, 1); adds jitter to the delay.
 * @returns The delay before the retry in milliseconds, or undefined if the failure
 *   is final.
 */
export function decideRetry(
  attempt: FailedRequestAttempt,
  budget: RetryBudget,
  random: number,
): number | undefined {
  if (NON_RETRYABLE_KINDS.has(attempt.kind)) return undefined;
  const isSafe = attempt.outcome === Outcome.NotRun || attempt.isIdempotent;
  if (!isSafe || attempt.attempts >= MAXIMUM_ATTEMPTS) return undefined;
  const delayMs =
    INITIAL_DELAY_MS * 2 ** (attempt.attempts - 1) * (0.5 + random);
  if (attempt.remainingMs - delayMs < MINIMUM_ATTEMPT_MS) return undefined;
  return budget.tryWithdraw() ? delayMs : undefined;
}
