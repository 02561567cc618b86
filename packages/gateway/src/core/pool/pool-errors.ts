import type {QueueRefusal} from '@sapphireglade/decisions';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {InstanceEndpoint} from '../upstream/index.js';
import {RECONNECT_DELAY_MS} from './connection-backoff.js';

/** Delay before a request is repeated that was refused for want of a share, in milliseconds; shares are divided anew at this interval. */
const SHARE_RETRY_DELAY_MS = 500;

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

/** Creates the error for a request to an instance of which this proxy may hold no connection. */
export function noShareError({id}: InstanceEndpoint): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoConnection,
    `This proxy has no share in the connections to instance ${id}.`,
    {retryAfterMs: SHARE_RETRY_DELAY_MS},
  );
}
