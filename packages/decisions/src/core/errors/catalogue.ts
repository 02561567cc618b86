import {ErrorKind} from './error-kind.js';
import {Outcome} from './outcome.js';
import {RetryAdvice} from './retry-advice.js';

/** The response for an error kind. */
export interface ErrorDefinition {
  /** Short title in plain language. */
  readonly title: string;
  /** Recommended next step for the reader. */
  readonly hint: string;
  /** HTTP status of the response. */
  readonly status: number;
  /** Outcome of the statement that is reported to the caller. */
  readonly outcome: Outcome;
  /** Whether the caller can retry the request. */
  readonly retry: RetryAdvice;
}

/** The responses of all error kinds. */
export const ERROR_CATALOGUE: Readonly<Record<ErrorKind, ErrorDefinition>> = {
  [ErrorKind.InvalidInput]: {
    title: 'The request is not valid',
    hint: 'Correct the named field and send the request again.',
    status: 400,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.InvalidSessionToken]: {
    title: 'The session token is not valid',
    hint: 'Send the token exactly as an answer gave it, or none to begin a new session.',
    status: 400,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.Unauthenticated]: {
    title: 'The key is missing or wrong',
    hint: 'Send "Authorization: Bearer NAME:KEY" with a key that an operator declared.',
    status: 401,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.Forbidden]: {
    title: 'The caller may not do this',
    hint: 'Ask an operator to declare the group and access for this caller.',
    status: 403,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.NotFound]: {
    title: 'There is nothing by this name',
    hint: 'Check the name; list the resources to see what exists.',
    status: 404,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.VersionConflict]: {
    title: 'The resource has changed in the meantime',
    hint: 'Read the resource, apply the change to its present version and send that.',
    status: 409,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.BodyTooLarge]: {
    title: 'The body is too large',
    hint: 'Send a smaller body.',
    status: 413,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.Overloaded]: {
    title: 'The upstream has more work than it can carry',
    hint: 'Send the request again after the stated delay.',
    status: 429,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.DeadlineUnreachable]: {
    title: 'The request could not have met its deadline',
    hint: 'Send the request again after the stated delay, or allow more time.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.NoPrimary]: {
    title: 'The group has no reachable primary',
    hint: 'Send the request again after the stated delay; a change of primary may be under way.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.NoFreshReplica]: {
    title: 'No instance can answer within the allowed age',
    hint: 'Send the request again after the stated delay, or allow older data.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.NoOwner]: {
    title: 'No proxy that holds connections can be reached',
    hint: 'Send the request again after the stated delay.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.NoConnection]: {
    title: 'No connection to the upstream is to be had',
    hint: 'Send the request again after the stated delay.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.ConfirmationUnlikely]: {
    title: 'A majority could not have confirmed the write in time',
    hint: 'Send the request again after the stated delay, or allow more time.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.StaleTerm]: {
    title: 'The upstream has a newer term',
    hint: 'Send the request again after the stated delay.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.ShuttingDown]: {
    title: 'The proxy is stopping',
    hint: 'Send the request again; the balancer chooses another proxy.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.NotReady]: {
    title: 'The proxy is not ready yet',
    hint: 'Send the request again after the stated delay.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.TransactionLost]: {
    title: 'The transaction is gone and was not committed',
    hint: 'Begin the transaction again.',
    status: 410,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.StatementFailed]: {
    title: 'The upstream refused the statement',
    hint: "Read the upstream's message and correct the statement.",
    status: 422,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.RunFailed]: {
    title: 'The upstream ran the statement and it failed',
    hint: 'Read the data before sending the statement again, unless it is idempotent.',
    status: 502,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.RunTimedOut]: {
    title: 'The statement was not answered within the time allowed for it',
    hint: 'Read the data before sending the statement again, unless it is idempotent.',
    status: 504,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.UnknownStatement]: {
    title: 'There is no prepared statement by this name',
    hint: 'Prepare the statement in this session before executing it.',
    status: 404,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.WrongInstance]: {
    title: 'Another instance answers at this address',
    hint: 'Send the request again after the stated delay.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.NotPrimary]: {
    title: 'The upstream does not lead its group',
    hint: 'Send the request again after the stated delay; a change of primary may be under way.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.TransactionIdle]: {
    title:
      'The transaction was idle for longer than is allowed and was rolled back',
    hint: 'Begin the transaction again and leave shorter pauses in it.',
    status: 410,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.OutcomeUnknown]: {
    title: 'Whether the statement ran is not known',
    hint: 'Read the data before sending the statement again, unless it is idempotent.',
    status: 504,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.RanUnconfirmed]: {
    title: 'The statement ran, but a majority has not confirmed it',
    hint: 'Read the data before sending the statement again, unless it is idempotent.',
    status: 504,
    outcome: Outcome.RanUnconfirmed,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.StoreUnavailable]: {
    title: "The platform's store does not answer",
    hint: 'Send the request again after the stated delay; traffic of callers goes on.',
    status: 503,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.FrameTooLong]: {
    title: 'A frame is longer than the limit',
    hint: 'Check that both proxies run compatible versions.',
    status: 500,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.FrameMalformed]: {
    title: 'A frame cannot be decoded',
    hint: 'Check that only proxies connect to the peer port.',
    status: 500,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.FrameUnknownKind]: {
    title: 'A frame is of an unknown kind',
    hint: 'Check that both proxies run compatible versions.',
    status: 500,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.LinkUnresponsive]: {
    title: 'A link between proxies is silent',
    hint: 'Check the network between the two availability zones.',
    status: 504,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.LinkClosed]: {
    title: 'A link between proxies has closed',
    hint: 'Check whether the other proxy has stopped.',
    status: 504,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
  [ErrorKind.MessageQueueFull]: {
    title: 'A task has more messages waiting than its limit',
    hint: 'Send the request again after the stated delay.',
    status: 503,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.AfterDelay,
  },
  [ErrorKind.SettingsInvalid]: {
    title: 'The settings are not valid',
    hint: 'Correct the named field; docs/OPERATIONS.md lists every setting.',
    status: 500,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.ListenFailed]: {
    title: 'A port cannot be opened',
    hint: 'Check that the address belongs to this VM and that the port is free.',
    status: 500,
    outcome: Outcome.NotRun,
    retry: RetryAdvice.Never,
  },
  [ErrorKind.Internal]: {
    title: 'The proxy has met a fault of its own',
    hint: 'Report the request identifier to the operators.',
    status: 500,
    outcome: Outcome.Unknown,
    retry: RetryAdvice.IdempotentOnly,
  },
};
