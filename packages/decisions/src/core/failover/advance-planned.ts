import {askForTerm} from './ask-for-term.js';
import {betterRanked} from './coordinator-rank.js';
import {PlannedStep, stepPlanned, wishedChange} from './planned-change.js';
import type {PlannedWish} from './planned-change.js';
import type {PlannedChange} from './planned-types.js';
import {PlannedPhase} from './planned-types.js';
import type {FailoverPolicy, FailoverResult, FailoverState} from './types.js';

/** Begins a planned change, or moves the one in progress on. */
export function advancePlanned(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const {planned} = state;
  if (planned === undefined) return beginPlanned(state, nowMs, policy);
  if (state.suspectedSinceMs !== undefined && state.attempt === undefined) {
    return endPlanned(state, false, 'the primary has failed', nowMs);
  }
  switch (stepPlanned(planned, state, nowMs, policy)) {
    case PlannedStep.Wait:
      return probeBoth(state, planned, nowMs, policy);
    case PlannedStep.Abandon:
      return abandon(state, nowMs, policy);
    case PlannedStep.Advance:
      return enterNextPhase(state, planned, nowMs, policy);
  }
}

/** Ends the planned change, if there is one, and lets writes go on. */
export function endPlanned(
  state: FailoverState,
  isDone: boolean,
  reason: string,
  nowMs: number,
): FailoverResult {
  const {planned} = state;
  if (planned === undefined) return {state, effects: []};
  const {term, target, startedAtMs} = planned;
  const tookMs = nowMs - startedAtMs;
  const step = {
    kind: 'planned-change-ended',
    term,
    target,
    isDone,
    reason,
    tookMs,
  } as const;
  return {
    state: {...state, planned: undefined, wishedSinceMs: undefined},
    effects: [
      {type: 'release-writes', term},
      {type: 'record', step},
    ],
  };
}

function beginPlanned(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const wish = wishedChange(state, nowMs, policy);
  if (wish === undefined || state.view === undefined) {
    return {state: {...state, wishedSinceMs: undefined}, effects: []};
  }
  const wishedSinceMs = state.wishedSinceMs ?? nowMs;
  const wishing = {...state, wishedSinceMs};
  if (!mayBegin(wishing, wishedSinceMs, nowMs, policy)) {
    return {state: wishing, effects: []};
  }
  const {term, primary} = state.view;
  const {target, reason} = wish;
  const step = {
    kind: 'planned-change-began',
    term,
    primary,
    target,
    reason,
  } as const;
  return {
    state: {...wishing, planned: newPlan(term, wish, nowMs)},
    effects: [
      {type: 'record', step},
      {type: 'hold-writes', term},
    ],
  };
}

/** The first-ranked coordinator begins; later ranks step in if it does not. */
function mayBegin(
  state: FailoverState,
  wishedSinceMs: number,
  nowMs: number,
  policy: FailoverPolicy,
): boolean {
  const turnMs = betterRanked(state).length * policy.plannedRankDelayMs;
  if (nowMs < wishedSinceMs + turnMs) return false;
  if (state.attempt !== undefined || nowMs < state.plannedRetryAtMs) {
    return false;
  }
  return state.assessment?.isMissing === false;
}

function newPlan(
  term: number,
  wish: PlannedWish,
  nowMs: number,
): PlannedChange {
  return {
    term,
    target: wish.target,
    reason: wish.reason,
    startedAtMs: nowMs,
    phase: PlannedPhase.Draining,
    phaseSinceMs: nowMs,
  };
}

function enterNextPhase(
  state: FailoverState,
  planned: PlannedChange,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  if (planned.phase === PlannedPhase.Draining) {
    const phase = PlannedPhase.CatchingUp;
    const next = {...planned, phase, phaseSinceMs: nowMs};
    return probeBoth(state, next, nowMs, policy);
  }
  const next = {
    ...planned,
    phase: PlannedPhase.Electing,
    phaseSinceMs: nowMs,
  };
  const {reason, target} = planned;
  const primary = state.view?.primary;
  const replaced = primary === target ? undefined : primary;
  const electing = {...state, planned: next};
  return askForTerm(electing, reason, target, nowMs, replaced);
}

/** Gives up for now and tries again after a while. */
function abandon(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const reason = 'the chosen replica did not catch up in time';
  const waiting = {
    ...state,
    plannedRetryAtMs: nowMs + policy.maximumBackoffMs,
  };
  return endPlanned(waiting, false, reason, nowMs);
}

/** Asks both ends of the change where they stand, at a steady pace. */
function probeBoth(
  state: FailoverState,
  planned: PlannedChange,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const sinceMs = nowMs - (planned.probedAtMs ?? -Infinity);
  const isDue = sinceMs >= policy.catchUpProbeMs;
  if (planned.phase !== PlannedPhase.CatchingUp || !isDue) {
    return {state: {...state, planned}, effects: []};
  }
  const primary = state.view?.primary ?? planned.target;
  const names = [...new Set([primary, planned.target])];
  return {
    state: {...state, planned: {...planned, probedAtMs: nowMs}},
    effects: names.map(instance => ({type: 'probe', instance}) as const),
  };
}
