import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {DatabaseGroup} from '../groups/index.js';
import type {ExecutionTarget} from './instance-selection.js';

/** Delay after which a caller retries, in milliseconds. */
const RETRY_AFTER_MS = 10;

/**
 * Returns the error for a target that may no longer be used in its role. Checked
 * just before it is used, as the statement may have waited for a connection.
 *
 * @param group - The group.
 * @param target - Where a statement is about to be sent.
 */
export function unusableTargetError(
  group: DatabaseGroup,
  {member, isPrimary}: ExecutionTarget,
): SapphiregladeError | undefined {
  const {id} = member.instance;
  if (!isPrimary)
    return group.mayReceiveStatements(id, false)
      ? undefined
      : new SapphiregladeError(
          ErrorKind.NoConnection,
          `Instance ${id} is leaving.`,
          {retryAfterMs: RETRY_AFTER_MS},
        );
  const primary = group.usablePrimary();
  if (typeof primary === 'object' && primary.instance.id === id)
    return undefined;
  return new SapphiregladeError(
    ErrorKind.NotPrimary,
    `The primary of group ${group.name} is no longer usable.`,
    {retryAfterMs: RETRY_AFTER_MS},
  );
}
