import {ERROR_CATALOGUE, ErrorKind} from '@sapphireglade/decisions';
import type {OperatorErrorResponse} from '@sapphireglade/protocol';

/** Exit codes of the command-line tool, as listed in its help. */
export const ExitCode = {
  Success: 0,
  /** The proxy refused the request or failed; the reason has no own code. */
  Failure: 1,
  /** Wrong arguments or invalid input. */
  Usage: 2,
  /** The named object does not exist. */
  NotFound: 3,
  /** The resource was changed by someone else in the meantime. */
  Conflict: 4,
  /** The operator's key is missing or wrong. */
  Unauthenticated: 5,
  /** The proxy is unreachable or the store does not respond. */
  Unavailable: 6,
  /** The awaited condition was not met in time. */
  TimedOut: 7,
  /** Some proxies did not respond; the output covers only the others. */
  Partial: 8,
} as const;

/** Exit code of the command-line tool. */
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

/** Failure of a command, with a hint for the operator. */
export class CommandError extends Error {
  /**
   * @param exitCode - Exit code of the process.
   * @param message - Description of the failure in one sentence.
   * @param hint - Suggested next step.
   */
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    readonly hint: string,
  ) {
    super(message);
    this.name = 'CommandError';
  }
}

/** Converts an error response of the operator API to a command error. */
export function toCommandError({error}: OperatorErrorResponse): CommandError {
  const field = error.field === undefined ? '' : ` Field: ${error.field}.`;
  const versions =
    error.versions === undefined
      ? ''
      : ` The change names version ${error.versions.expected}; version ${error.versions.current} is in force.`;
  return new CommandError(
    EXIT_CODE_BY_ERROR_KIND[error.kind] ?? ExitCode.Failure,
    `${error.title}: ${error.message}${field}${versions}`,
    error.hint,
  );
}

/** Creates an error of a catalogue kind for a failure detected by the tool. */
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
