import {ErrorKind, ReadConsistency} from '@sapphireglade/decisions';
import type {ExecutionRequest} from '../sessions/index.js';

/** Errors of one owner after which another owner may succeed. The request has not run in any of these cases. */
export const RETRYABLE_OWNER_ERRORS: ReadonlySet<ErrorKind> =
  new Set<ErrorKind>([
    ErrorKind.NoOwner,
    ErrorKind.ShuttingDown,
    ErrorKind.NotReady,
    ErrorKind.NoConnection,
    ErrorKind.NoPrimary,
    ErrorKind.Overloaded,
  ]);

/**
 * Returns whether only the primary can serve a request.
 *
 * @param request - The request, or the first one of a transaction.
 * @param isRead - Whether the statement, or the whole transaction, is read-only.
 */
export function needsPrimary(
  {route}: ExecutionRequest,
  isRead: boolean,
): boolean {
  return !isRead || route.consistency === ReadConsistency.Primary;
}
