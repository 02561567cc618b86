import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup, GroupMember} from '../groups/index.js';
import {PrimaryProblem} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';

/** How often the view is looked at while a request waits, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** Longest wait for a confirmation of the view, in milliseconds; one answer of a store that works. */
const UNCONFIRMED_WAIT_MS = 100;

/** Expected times from the choice of a target to its lead, in milliseconds; the users' deployments take 600 and 1,000. The next one counts when one has passed. */
const EXPECTED_PROMOTION_MS = [700, 1_400] as const;

/** Expected times from the start of a planned change to the choice of a target, in milliseconds; proxies let transactions end for up to 250. */
const EXPECTED_PLANNED_CHOICE_MS = [200, 500] as const;

/** The same after a failure, in milliseconds; views of proxies that are gone as well run out within 1,100. */
const EXPECTED_CHOICE_MS = [300, 1_100] as const;

/**
 * Waits until a group has a primary that may be used.
 *
 * A request that could not be served before its deadline is refused at once.
 *
 * @param group - The group.
 * @param deadlineMs - Until when, in milliseconds of the steady clock.
 * @param unsuitable - An instance that has just refused to be the primary.
 * @throws SapphiregladeError of kind `no-primary`, whose outcome is `not run`.
 */
export async function awaitPrimary(
  group: DatabaseGroup,
  deadlineMs: number,
  unsuitable?: string,
): Promise<GroupMember> {
  const beganAtMs = steadyNowMs();
  for (;;) {
    const primary = group.usablePrimary();
    const isUsable =
      typeof primary === 'object' && primary.instance.id !== unsuitable;
    if (isUsable) return primary;
    // An instance that leads no more is replaced, but the news is not here yet.
    const problem =
      typeof primary === 'string' ? primary : PrimaryProblem.Unconfirmed;
    const nowMs = steadyNowMs();
    const endsAtMs = expectedEndMs(group, problem, beganAtMs);
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

/** When the problem is expected to end, in milliseconds. */
function expectedEndMs(
  group: DatabaseGroup,
  problem: PrimaryProblem,
  beganAtMs: number,
): number {
  if (problem !== PrimaryProblem.Changing) {
    return beganAtMs + UNCONFIRMED_WAIT_MS;
  }
  const {change} = group;
  if (change.targetAtMs !== undefined) {
    return nextExpectedTimeMs(change.targetAtMs, EXPECTED_PROMOTION_MS);
  }
  const choices = change.isPlanned
    ? EXPECTED_PLANNED_CHOICE_MS
    : EXPECTED_CHOICE_MS;
  return (
    nextExpectedTimeMs(change.beganAtMs, choices) + EXPECTED_PROMOTION_MS[0]
  );
}

/** The first of some expected times that has not passed, else the last. */
function nextExpectedTimeMs(
  sinceMs: number,
  expectedMs: readonly number[],
): number {
  const nowMs = steadyNowMs();
  const ends = expectedMs.map(lengthMs => sinceMs + lengthMs);
  return ends.find(endMs => endMs >= nowMs) ?? ends.at(-1) ?? nowMs;
}
