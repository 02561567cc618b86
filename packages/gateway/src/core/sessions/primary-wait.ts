import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup, GroupMember} from '../groups/index.js';
import {PrimaryProblem} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';

/** Interval at which the view is checked while a request waits, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** Longest wait for a confirmation of the view, in milliseconds; covers one response of a working store. */
const UNCONFIRMED_WAIT_MS = 100;

/**
 * Waits until a group has a usable primary.
 *
 * A request that is not expected to be served before its deadline is refused
 * immediately.
 *
 * @param group - The group.
 * @param deadlineMs - Deadline, in milliseconds of the steady clock.
 * @param rejectedInstance - An instance that has just reported that it is not the primary.
 * @throws SapphiregladeError of kind `no-primary`, whose outcome is `not run`.
 */
export async function awaitPrimary(
  group: DatabaseGroup,
  deadlineMs: number,
  rejectedInstance?: string,
): Promise<GroupMember> {
  const startedAtMs = steadyNowMs();
  for (;;) {
    const primary = group.usablePrimary();
    const isUsable =
      typeof primary === 'object' && primary.instance.id !== rejectedInstance;
    if (isUsable) return primary;
    // The former primary is being replaced, but this proxy has not received the change yet.
    const problem =
      typeof primary === 'string' ? primary : PrimaryProblem.Unconfirmed;
    const nowMs = steadyNowMs();
    const endsAtMs = expectedEndMs(group, problem, startedAtMs);
    const canWait = problem !== PrimaryProblem.Leaving;
    if (!canWait || nowMs > endsAtMs || endsAtMs > deadlineMs) {
      throw new SapphiregladeError(
        ErrorKind.NoPrimary,
        `Group ${group.name} has no usable primary: ${problem}.`,
        {retryAfterMs: Math.max(POLL_INTERVAL_MS, Math.ceil(endsAtMs - nowMs))},
      );
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Returns when the problem is expected to end, in milliseconds of the steady clock. */
function expectedEndMs(
  group: DatabaseGroup,
  problem: PrimaryProblem,
  startedAtMs: number,
): number {
  const nowMs = steadyNowMs();
  if (problem === PrimaryProblem.Changing)
    return group.changeExpectation.endsAtMs(group.change, nowMs);
  if (problem === PrimaryProblem.Leaving) {
    // Its change has not begun yet.
    const change = {beganAtMs: nowMs, isPlanned: true, targetAtMs: undefined};
    return group.changeExpectation.endsAtMs(change, nowMs);
  }
  return startedAtMs + UNCONFIRMED_WAIT_MS;
}
