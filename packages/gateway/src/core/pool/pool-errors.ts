import type {QueueRefusal} from '@sapphireglade/decisions';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {InstanceEndpoint} from '../upstream/index.js';
import {RECONNECT_DELAY_MS} from './connection-backoff.js';

/** Creates the error for a request that could not be served before its deadline. */
export function queueFullError(
  {id}: InstanceEndpoint,
  queueLength: number,
  {retryAfterMs}: QueueRefusal,
): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.Overloaded,
    `Instance ${id} has ${queueLength} requests waiting.`,
    {retryAfterMs: Math.ceil(retryAfterMs)},
  );
}

/** Creates the error for a request that waited past its deadline. */
export function queueDeadlineError(
  {id}: InstanceEndpoint,
  holdingMs: number,
): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.DeadlineUnreachable,
    `No connection to instance ${id} came free in time.`,
    {retryAfterMs: Math.ceil(holdingMs)},
  );
}

/** Creates the error for a request to an unreachable instance. */
export function noConnectionError(
  {id}: InstanceEndpoint,
  reason: string,
): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoConnection,
    `There is no connection to instance ${id}: ${reason}.`,
    {retryAfterMs: RECONNECT_DELAY_MS},
  );
}
