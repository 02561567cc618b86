import {ERROR_CATALOGUE, ErrorKind} from '@sapphireglade/decisions';
import type {OperatorErrorResponse} from '@sapphireglade/protocol';

/** Exit codes of the command line; the help lists them. */
export const ExitCode = {
  Success: 0,
  /** The proxy refused or failed for a reason without a code of its own. */
  Failure: 1,
  /** Wrong arguments or invalid input. */
  Usage: 2,
  /** There is nothing by this name. */
  NotFound: 3,
  /** Somebody else changed the resource in the meantime. */
  Conflict: 4,
  /** The operator's key is missing or wrong. */
  Unauthenticated: 5,
  /** The proxy cannot be reached, or the store does not answer. */
  Unavailable: 6,
  /** What was waited for did not happen in time. */
  TimedOut: 7,
  /** Some proxies did not answer; the rest is shown. */
  Partial: 8,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

const EXIT_CODE_BY_ERROR_KIND: Partial<Record<ErrorKind, ExitCode>> = {
  [ErrorKind.InvalidInput]: ExitCode.Usage,
  [ErrorKind.NotFound]: ExitCode.NotFound,
  [ErrorKind.VersionConflict]: ExitCode.Conflict,
  [ErrorKind.Unauthenticated]: ExitCode.Unauthenticated,
  [ErrorKind.StoreUnavailable]: ExitCode.Unavailable,
  [ErrorKind.NotReady]: ExitCode.Unavailable,
  [ErrorKind.ShuttingDown]: ExitCode.Unavailable,
};

/** A failure of a command, with what the reader should do next. */
export class CommandError extends Error {
  /**
   * @param exitCode - Exit code of the process.
   * @param message - What happened, as one sentence.
   * @param hint - What to do next.
   */
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    readonly hint: string,
  ) {
    super(message);
    this.name = 'OperatorFailure';
  }
}

/** Turns the body of a refusal into a failure. */
export function toCommandError({error}: OperatorErrorResponse): CommandError {
  const field = error.field === undefined ? '' : ` Field: ${error.field}.`;
  const versions =
    error.versions === undefined
      ? ''
      : ` You named version ${error.versions.expected}; version ${error.versions.current} is in force.`;
  return new CommandError(
    EXIT_CODE_BY_ERROR_KIND[error.kind] ?? ExitCode.Failure,
    `${error.title}: ${error.message}${field}${versions}`,
    error.hint,
  );
}

/** A failure of a kind of the catalogue that the tool itself found. */
export function createLocalError(
  kind: ErrorKind,
  message: string,
): CommandError {
  return new CommandError(
    EXIT_CODE_BY_ERROR_KIND[kind] ?? ExitCode.Failure,
    message,
    ERROR_CATALOGUE[kind].hint,
  );
}
