import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {InstanceReply} from '../upstream/index.js';
import type {UnansweredCommand} from './command-result.js';

/** When a caller comes back after a passing refusal, in milliseconds. */
const RETRY_AFTER_MS = 50;

/** The error for an answer that was not a success. */
export function refusalError(reply: InstanceReply): SapphiregladeError {
  const {refusal} = reply;
  return new SapphiregladeError(
    refusal?.kind ?? ErrorKind.Internal,
    `The instance refused: ${refusal?.detail ?? 'no reason given'}`,
    {retryAfterMs: RETRY_AFTER_MS},
  );
}

/**
 * The error for a command that was not answered.
 *
 * @param outcome - How it was not answered.
 * @param mayBeKept - Whether it may have had an effect that stays.
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
