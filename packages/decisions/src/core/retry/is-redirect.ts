import {ErrorKind, Outcome} from '../errors/index.js';

/**
 * Returns whether a proxy answered that it is not an owner of the group.
 *
 * Sending the request to the next owner is then not a retry: nothing was executed
 * and no upstream gets additional load, so neither the retry budget nor the limit
 * of attempts applies.
 */
export function isRedirect(failure: {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
}): boolean {
  return (
    failure.kind === ErrorKind.NoOwner && failure.outcome === Outcome.NotRun
  );
}
