import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';

/** Delay after which a caller of a stopping process may return, in milliseconds; other proxies serve it at once. */
const SHUTDOWN_RETRY_AFTER_MS = 0;

/** Creates the error for a request that is not valid. */
export function invalidInputError(detail: string): SapphiregladeError {
  return new SapphiregladeError(ErrorKind.InvalidInput, detail);
}

/**
 * Creates the error for a statement that the protocol of the instances cannot
 * express, for example because its message would be too long.
 */
export function unsendableError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.BodyTooLarge,
    'The statement does not fit in one message to the instance.',
  );
}

/**
 * Creates the error for a statement that a stopping process refuses.
 *
 * @param isInTransaction - Whether the statement belongs to an open transaction.
 */
export function shuttingDownError(
  isInTransaction: boolean,
): SapphiregladeError {
  const retryAfterMs = SHUTDOWN_RETRY_AFTER_MS;
  return isInTransaction
    ? new SapphiregladeError(
        ErrorKind.TransactionLost,
        'The proxy is stopping; the transaction was rolled back.',
        {retryAfterMs},
      )
    : new SapphiregladeError(ErrorKind.ShuttingDown, 'The proxy is stopping.', {
        retryAfterMs,
      });
}

/** Returns the error itself if its kind is known, otherwise wraps it as an internal error. */
export function toSapphiregladeError(error: unknown): SapphiregladeError {
  if (error instanceof SapphiregladeError) return error;
  return new SapphiregladeError(ErrorKind.Internal, String(error), {
    cause: error,
  });
}
