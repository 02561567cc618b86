import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup, GroupMember} from '../groups/index.js';
import {PrimaryProblem} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';

/** Interval at which the view is checked while a request waits, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** Longest wait for a confirmation of the view, in milliseconds; covers one response of a working store. */
const UNCONFIRMED_WAIT_MS = 100;

/** Expected times from the choice of a target until it is the primary, in milliseconds; the users' deployments take 600 and 1,000. The next entry applies once one has passed. */
const EXPECTED_PROMOTION_MS = [700, 1_400] as const;

/** Expected times from the start of a planned change to the choice of a target, in milliseconds; proxies wait up to 250 for transactions to end. */
const EXPECTED_PLANNED_CHOICE_MS = [200, 500] as const;

/** Expected times from a failure to the choice of a target, in milliseconds; views of proxies that failed as well expire within 1,100. */
const EXPECTED_CHOICE_MS = [300, 1_100] as const;

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
    if (nowMs > endsAtMs || endsAtMs > deadlineMs) {
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
  if (problem !== PrimaryProblem.Changing) {
    return startedAtMs + UNCONFIRMED_WAIT_MS;
  }
  const {change} = group;
  if (change.targetAtMs !== undefined) {
    return nextExpectedTimeMs(change.targetAtMs, EXPECTED_PROMOTION_MS);
  }
  const choiceDelaysMs = change.isPlanned
    ? EXPECTED_PLANNED_CHOICE_MS
    : EXPECTED_CHOICE_MS;
  return (
    nextExpectedTimeMs(change.beganAtMs, choiceDelaysMs) +
    EXPECTED_PROMOTION_MS[0]
  );
}

/** Returns the first expected time that has not passed, otherwise the last one. */
function nextExpectedTimeMs(
  sinceMs: number,
  expectedMs: readonly number[],
): number {
  const nowMs = steadyNowMs();
  const endsMs = expectedMs.map(delayMs => sinceMs + delayMs);
  return endsMs.find(endMs => endMs >= nowMs) ?? endsMs.at(-1) ?? nowMs;
}
