import {UpstreamRefusedError} from '../upstream/index.js';

/** Error codes that show that the remote end rejected or reset an attempt. */
const REFUSED_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'UND_ERR_SOCKET',
]);

/**
 * Returns whether the remote end refused a connection. The instance does not
 * count a refused connection.
 *
 * @param error - Why the connection could not be opened.
 */
export function isConnectionRefused(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  if (error instanceof UpstreamRefusedError) return true;
  if ('code' in error && REFUSED_ERROR_CODES.has(error.code)) return true;
  return isConnectionRefused(error.cause);
}
