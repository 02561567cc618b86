import type {LogPosition} from '@sapphireglade/decisions';
import {hasLeftTerm} from '@sapphireglade/decisions';
import type {PooledConnection} from '../pool/index.js';
import type {DatabaseGroup} from './database-group.js';
import type {GroupMember} from './group-member.js';

/**
 * Returns whether the log of an instance has left that of the recorded term, so
 * that its position proves nothing.
 *
 * @param group - The group, whose record names the term.
 * @param member - The instance.
 * @param connection - The connection over which it showed the position; any one
 *   if left out.
 * @param position - The position; the last one that it showed if left out.
 */
export function hasLeftLog(
  {record}: DatabaseGroup,
  {pool, shown}: GroupMember,
  connection?: PooledConnection,
  position: LogPosition | undefined = shown.latest?.position,
): boolean {
  if (record === undefined || position === undefined) return false;
  const unknown = {term: undefined, received: position};
  if (!hasLeftTerm(unknown, record.record)) return false;
  const sinceMs = pool.standingSinceMs(connection) ?? Infinity;
  const term = shown.termSince(sinceMs);
  return hasLeftTerm({term, received: position}, record.record);
}
