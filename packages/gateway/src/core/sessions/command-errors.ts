import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {InstancePool} from '../pool/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {UnansweredCommand} from './command-result.js';
import type {RunnableStatement} from './runnable-statement.js';

/** Delay after which a caller retries a temporary refusal, in milliseconds. */
const RETRY_AFTER_MS = 50;

/** Creates the error for a command that the instance refused. */
export function refusalError(reply: InstanceReply): SapphiregladeError {
  const {refusal} = reply;
  return new SapphiregladeError(
    refusal?.kind ?? ErrorKind.Internal,
    `The instance refused: ${refusal?.detail ?? 'no reason given'}`,
    {retryAfterMs: RETRY_AFTER_MS},
  );
}

/**
 * Creates the error for a command that was not answered.
 *
 * @param outcome - Whether the connection was lost or the command timed out.
 * @param mayBeKept - Whether the command may have had a permanent effect.
 */
export function unansweredError(
  outcome: UnansweredCommand,
  mayBeKept: boolean,
): SapphiregladeError {
  const reason =
    outcome.kind === 'timed-out'
      ? 'The instance did not answer within the time allowed for the statement.'
      : outcome.reason;
  if (mayBeKept)
    return new SapphiregladeError(ErrorKind.OutcomeUnknown, reason);
  if (outcome.kind === 'timed-out') {
    return new SapphiregladeError(ErrorKind.RunTimedOut, reason);
  }
  return new SapphiregladeError(ErrorKind.NoConnection, reason, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/**
 * Returns the error for a commit that is not sent, because no commit on the
 * instance is confirmed by a replica. Counts the commit as sent otherwise.
 */
export function refuseUnconfirmedCommit(
  {commitGate, endpoint}: InstancePool,
  {awaitsReplica}: RunnableStatement,
): SapphiregladeError | undefined {
  if (!awaitsReplica) return undefined;
  const nowMs = steadyNowMs();
  const retryAfterMs = commitGate.offer(nowMs);
  if (retryAfterMs === undefined) {
    commitGate.recordSent(nowMs);
    return undefined;
  }
  return new SapphiregladeError(
    ErrorKind.ConfirmationUnlikely,
    `No replica of instance ${endpoint.id} confirms commits.`,
    {retryAfterMs: Math.ceil(retryAfterMs)},
  );
}
