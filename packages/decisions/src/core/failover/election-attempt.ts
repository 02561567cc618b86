import {comparePositions, hasMajority} from '../groups/index.js';
import type {GroupResource} from '../resources/index.js';
import type {ElectionAttempt, GrantAnswer} from './election-attempt-types.js';
import {AttemptPhase} from './election-attempt-types.js';
import type {FailoverPolicy} from './types.js';

/** Creates an attempt in the granting phase. */
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
 * Records the answer of one instance to the grant request.
 *
 * @param answer - The answer; undefined if none arrived.
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
  if (!hasQuorum(updated, group)) return {...updated, majorityAtMs: undefined};
  return {...updated, majorityAtMs: attempt.majorityAtMs ?? nowMs};
}

/**
 * Advances an attempt to the promoting phase once a majority has granted, or to
 * the failed phase if no majority grants in time.
 *
 * A promotion without an answer fails the attempt for good, because a second
 * promotion under the same term could create two primaries of one term.
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

/** Returns the attempt in the failed phase. */
export function failAttempt(
  attempt: ElectionAttempt,
  failure: string,
): ElectionAttempt {
  return {...attempt, phase: AttemptPhase.Failed, failure};
}

/** Returns the names of the instances that granted the term. */
export function grantedInstances(attempt: ElectionAttempt): string[] {
  return [...attempt.answers]
    .filter(([, answer]) => answer?.granted === true)
    .map(([instance]) => instance);
}

/**
 * Chooses the instance to promote: among those that granted, the one with the
 * highest (last term, position). It has every confirmed write, because a
 * majority of each voter set that may have confirmed it has granted.
 *
 * @returns The name, or undefined without a majority of grants.
 */
export function chooseCandidate(
  attempt: ElectionAttempt,
  group: GroupResource,
): string | undefined {
  if (!hasQuorum(attempt, group)) return undefined;
  const granted = grantedInstances(attempt);
  const order = orderByPreference(attempt, group);
  const ranked = order.filter(name => granted.includes(name));
  return ranked.reduce((best, name) =>
    isMoreAdvanced(attempt, name, best) ? name : best,
  );
}

/** Whether a majority of each voter set has granted the term. */
function hasQuorum(attempt: ElectionAttempt, group: GroupResource): boolean {
  const declared = group.instances.map(({name}) => name);
  const granted = grantedInstances(attempt);
  const {voterSets, needsEveryGrant, term} = attempt;
  if (needsEveryGrant === true && granted.length < declared.length) {
    return false;
  }
  const required = voterSets ?? [{term, instances: declared}];
  return required.every(set => hasMajority(set, granted));
}

/** Waits for grants, then chooses a candidate or fails the attempt. */
function advanceGranting(
  attempt: ElectionAttempt,
  group: GroupResource,
  nowMs: number,
  policy: FailoverPolicy,
): ElectionAttempt {
  const allAnswered = attempt.answers.size >= group.instances.length;
  const {majorityAtMs} = attempt;
  if (majorityAtMs === undefined) {
    const isLate = nowMs - attempt.startedAtMs >= policy.grantTimeoutMs;
    if (!allAnswered && !isLate) return attempt;
    return failAttempt(attempt, 'no majority granted the term');
  }
  const candidate = chooseCandidate(attempt, group);
  if (candidate === undefined) return attempt;
  // A preferred target that has caught up needs no further comparison.
  const isSettled =
    candidate === attempt.preferred ||
    (!isAwaitingTarget(attempt, nowMs, policy) &&
      nowMs - majorityAtMs >= policy.grantSettleMs);
  if (!allAnswered && !isSettled) return attempt;
  return {
    ...attempt,
    phase: AttemptPhase.Promoting,
    candidate,
    promotedAtMs: nowMs,
  };
}

/**
 * Whether the target of a planned change may still grant. A majority without
 * it could elect the primary that is to be replaced.
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

/**
 * Orders instances for ties: the preferred one first, then active ones, then
 * leaving ones, and the one to be replaced last.
 */
function orderByPreference(
  attempt: ElectionAttempt,
  group: GroupResource,
): string[] {
  const active = group.instances.filter(({state}) => state === 'active');
  const leaving = group.instances.filter(({state}) => state !== 'active');
  const {preferred, replaced} = attempt;
  const all = [...active, ...leaving].map(({name}) => name);
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
