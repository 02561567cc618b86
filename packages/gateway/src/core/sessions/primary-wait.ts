import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup, GroupMember} from '../groups/index.js';
import {PrimaryProblem} from '../groups/index.js';
import {steadyNow} from '../time/index.js';

/** How often the view is looked at while a request waits, in milliseconds. */
const POLL_MS = 20;

/** Longest wait for a confirmation of the view, in milliseconds; one answer of a store that works. */
const UNCONFIRMED_WAIT_MS = 100;

/** Expected length of a change after a failure, in milliseconds; promotions take some hundred, and the failed primary's users are waited for. */
const EXPECTED_CHANGE_MS = 1_200;

/** Expected length of a planned change, in milliseconds; a planned one took 782 in a run of the users' bench. */
const EXPECTED_PLANNED_CHANGE_MS = 800;

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
  const beganAtMs = steadyNow();
  for (;;) {
    const primary = group.usablePrimary();
    const isUsable =
      typeof primary === 'object' && primary.instance.id !== unsuitable;
    if (isUsable) return primary;
    const problem =
      typeof primary === 'string' ? primary : PrimaryProblem.Changing;
    const nowMs = steadyNow();
    const endsAtMs = expectedEnd(group, problem, beganAtMs);
    if (nowMs > endsAtMs || endsAtMs > deadlineMs) {
      throw new SapphiregladeError(
        ErrorKind.NoPrimary,
        `Group ${group.name} has no usable primary: ${problem}.`,
        {retryAfterMs: Math.max(POLL_MS, Math.ceil(endsAtMs - nowMs))},
      );
    }
    await sleep(POLL_MS);
  }
}

/** When the problem is expected to end, in milliseconds. */
function expectedEnd(
  group: DatabaseGroup,
  problem: PrimaryProblem,
  beganAtMs: number,
): number {
  if (problem !== PrimaryProblem.Changing) {
    return beganAtMs + UNCONFIRMED_WAIT_MS;
  }
  const lengthMs = group.isChangePlanned
    ? EXPECTED_PLANNED_CHANGE_MS
    : EXPECTED_CHANGE_MS;
  return group.changingSinceMs + lengthMs;
}
