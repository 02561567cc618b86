import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {fetchReplicationReport, hasLeftLog} from '../groups/index.js';
import type {DatabaseGroup} from '../groups/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {BoundConnection} from './bound-connection.js';
import type {ExecutionTarget} from './instance-selection.js';

/** Delay after which a caller retries, in milliseconds. */
const RETRY_AFTER_MS = 50;

/**
 * Queries a replica that last showed a log which has left the recorded term, and
 * refuses it unless it has followed the term since.
 *
 * @param group - The group.
 * @param target - Where a read is about to be sent.
 */
export async function refuseLeftLog(
  group: DatabaseGroup,
  {member, isPrimary}: ExecutionTarget,
): Promise<SapphiregladeError | undefined> {
  if (isPrimary || !hasLeftLog(group, member)) return undefined;
  await fetchReplicationReport(member.pool);
  return hasLeftLog(group, member) ? createError(member.instance) : undefined;
}

/**
 * Returns the error for a read that was served by a log which has left the
 * recorded term: the position that it had to reach proves nothing there.
 *
 * @param group - The group.
 * @param target - Where the read was served.
 * @param bound - Its connection.
 * @param reply - The reply.
 */
export function leftLogError(
  group: DatabaseGroup,
  {member, isPrimary}: ExecutionTarget,
  {connection}: BoundConnection,
  {position}: InstanceReply,
): SapphiregladeError | undefined {
  if (isPrimary || !hasLeftLog(group, member, connection, position))
    return undefined;
  return createError(member.instance);
}

function createError({id}: {readonly id: string}): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoFreshReplica,
    `The log of instance ${id} is not that of the present primary.`,
    {retryAfterMs: RETRY_AFTER_MS},
  );
}
