import {UpstreamRefusedError} from '../upstream/index.js';

/** Codes of errors with which the other end itself ends an attempt. */
const REFUSED_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'ECONNRESET',
  'UND_ERR_SOCKET',
]);

/**
 * Says whether the other end refused a connection, so that the instance does
 * not count it.
 *
 * @param error - Why the connection could not be opened.
 */
export function isConnectionRefused(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  if (error instanceof UpstreamRefusedError) return true;
  if ('code' in error && REFUSED_ERROR_CODES.has(error.code)) return true;
  return isConnectionRefused(error.cause);
}
