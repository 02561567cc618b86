import {comparePositions, majorityOf} from '../groups/index.js';
import type {GroupResource} from '../resources/index.js';
import type {ElectionAttempt, GrantAnswer} from './election-attempt-types.js';
import {AttemptPhase} from './election-attempt-types.js';
import type {FailoverPolicy} from './types.js';

/** Begins an attempt. */
export function beginAttempt(
  term: number,
  reason: string,
  preferred: string | undefined,
  nowMs: number,
  replaced?: string,
): ElectionAttempt {
  return {
    term,
    reason,
    preferred,
    replaced,
    startedAtMs: nowMs,
    phase: AttemptPhase.Granting,
    answers: new Map(),
  };
}

/**
 * Takes in the answer of one instance to the request for the term.
 *
 * @param answer - The answer; undefined if the instance gave none.
 */
export function recordGrantAnswer(
  attempt: ElectionAttempt,
  group: GroupResource,
  instance: string,
  answer: GrantAnswer | undefined,
  nowMs: number,
): ElectionAttempt {
  if (attempt.phase !== AttemptPhase.Granting) return attempt;
  const answers = new Map(attempt.answers).set(instance, answer);
  const updated = {...attempt, answers};
  const hasMajority =
    grantedInstances(updated).length >= majorityOf(group.instances.length);
  if (!hasMajority) return updated;
  return {...updated, majorityAtMs: attempt.majorityAtMs ?? nowMs};
}

/**
 * Moves an attempt on: to the promotion once a majority has granted, or to
 * failure when no majority can be had in time.
 *
 * A promotion without an answer fails the attempt for good: a second one under
 * the same term could make two primaries of one term.
 */
export function advanceAttempt(
  attempt: ElectionAttempt,
  group: GroupResource,
  nowMs: number,
  policy: FailoverPolicy,
): ElectionAttempt {
  switch (attempt.phase) {
    case AttemptPhase.Granting:
      return advanceGranting(attempt, group, nowMs, policy);
    case AttemptPhase.Promoting: {
      const waitedMs = nowMs - (attempt.promotedAtMs ?? nowMs);
      if (waitedMs < policy.promotionTimeoutMs) return attempt;
      return failAttempt(attempt, 'the promotion was not answered in time');
    }
    case AttemptPhase.Failed:
      return attempt;
  }
}

/** Marks an attempt as failed. */
export function failAttempt(
  attempt: ElectionAttempt,
  failure: string,
): ElectionAttempt {
  return {...attempt, phase: AttemptPhase.Failed, failure};
}

/** Names of the instances that granted the term. */
export function grantedInstances(attempt: ElectionAttempt): string[] {
  return [...attempt.answers]
    .filter(([, answer]) => answer?.granted === true)
    .map(([instance]) => instance);
}

/**
 * Chooses the instance to promote: of those that granted, the one with the
 * highest (last term, position). It holds every confirmed write, because the
 * majority that granted and the majority that held the write overlap.
 *
 * @returns The name, or undefined without a majority of grants.
 */
export function chooseCandidate(
  attempt: ElectionAttempt,
  group: GroupResource,
): string | undefined {
  const granted = grantedInstances(attempt);
  if (granted.length < majorityOf(group.instances.length)) return undefined;
  const order = orderByPreference(attempt, group);
  const ranked = order.filter(name => granted.includes(name));
  return ranked.reduce((best, name) =>
    isMoreAdvanced(attempt, name, best) ? name : best,
  );
}

/** Waits for grants, then chooses, or gives up. */
function advanceGranting(
  attempt: ElectionAttempt,
  group: GroupResource,
  nowMs: number,
  policy: FailoverPolicy,
): ElectionAttempt {
  const everyoneAnswered = attempt.answers.size >= group.instances.length;
  const {majorityAtMs} = attempt;
  if (majorityAtMs === undefined) {
    const isLate = nowMs - attempt.startedAtMs >= policy.grantTimeoutMs;
    if (!everyoneAnswered && !isLate) return attempt;
    return failAttempt(attempt, 'no majority granted the term');
  }
  const candidate = chooseCandidate(attempt, group);
  if (candidate === undefined) return attempt;
  // A planned target that has caught up needs no further comparison.
  const isSettled =
    candidate === attempt.preferred ||
    (!isAwaitingTarget(attempt, nowMs, policy) &&
      nowMs - majorityAtMs >= policy.grantSettleMs);
  if (!everyoneAnswered && !isSettled) return attempt;
  return {
    ...attempt,
    phase: AttemptPhase.Promoting,
    candidate,
    promotedAtMs: nowMs,
  };
}

/**
 * Whether the target of a planned change may still grant. A majority without
 * it would elect the very primary that is to be replaced.
 */
function isAwaitingTarget(
  attempt: ElectionAttempt,
  nowMs: number,
  policy: FailoverPolicy,
): boolean {
  const {preferred, answers, startedAtMs} = attempt;
  if (preferred === undefined || answers.has(preferred)) return false;
  return nowMs - startedAtMs < policy.grantTimeoutMs;
}

/** Orders instances for ties: the preferred, the staying, then the leaving. */
function orderByPreference(
  attempt: ElectionAttempt,
  group: GroupResource,
): string[] {
  const staying = group.instances.filter(({state}) => state === 'active');
  const leaving = group.instances.filter(({state}) => state !== 'active');
  const {preferred, replaced} = attempt;
  const all = [...staying, ...leaving].map(({name}) => name);
  const names = [
    ...all.filter(name => name !== replaced),
    ...all.filter(name => name === replaced),
  ];
  if (preferred === undefined || !names.includes(preferred)) return names;
  return [preferred, ...names.filter(name => name !== preferred)];
}

function isMoreAdvanced(
  attempt: ElectionAttempt,
  left: string,
  right: string,
): boolean {
  const leftAnswer = attempt.answers.get(left);
  const rightAnswer = attempt.answers.get(right);
  if (leftAnswer === undefined || rightAnswer === undefined) return false;
  return comparePositions(leftAnswer.position, rightAnswer.position) > 0;
}
