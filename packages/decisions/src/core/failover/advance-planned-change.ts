import {requestTerm} from './request-term.js';
import {higherRankedCoordinators} from './coordinator-rank.js';
import {
  PlannedChangeAction,
  nextPlannedChangeAction,
  proposePlannedChange,
} from './planned-change.js';
import type {PlannedChangeProposal} from './planned-change.js';
import type {PlannedChange} from './planned-change-types.js';
import {PlannedChangePhase} from './planned-change-types.js';
import type {FailoverPolicy, FailoverResult, FailoverState} from './types.js';

/** Begins a planned change, or advances the one in progress. */
export function advancePlannedChange(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const {plannedChange: planned} = state;
  if (planned === undefined) return beginPlannedChange(state, nowMs, policy);
  if (state.suspectedSinceMs !== undefined && state.attempt === undefined) {
    return endPlannedChange(state, false, 'the primary has failed', nowMs);
  }
  switch (nextPlannedChangeAction(planned, state, nowMs, policy)) {
    case PlannedChangeAction.Wait:
      return probePrimaryAndTarget(state, planned, nowMs, policy);
    case PlannedChangeAction.Abandon:
      return abandonPlannedChange(state, nowMs, policy);
    case PlannedChangeAction.Advance:
      return enterNextPhase(state, planned, nowMs, policy);
  }
}

/** Ends the planned change, if there is one, and releases held writes. */
export function endPlannedChange(
  state: FailoverState,
  isDone: boolean,
  reason: string,
  nowMs: number,
): FailoverResult {
  const {plannedChange: planned} = state;
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
    state: {
      ...state,
      plannedChange: undefined,
      plannedChangeDueSinceMs: undefined,
    },
    effects: [
      {type: 'release-writes', term},
      {type: 'record', step},
    ],
  };
}

function beginPlannedChange(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const proposal = proposePlannedChange(state, nowMs, policy);
  if (proposal === undefined || state.view === undefined) {
    return {state: {...state, plannedChangeDueSinceMs: undefined}, effects: []};
  }
  const dueSinceMs = state.plannedChangeDueSinceMs ?? nowMs;
  const dueState = {...state, plannedChangeDueSinceMs: dueSinceMs};
  if (!canBeginPlannedChange(dueState, dueSinceMs, nowMs, policy)) {
    return {state: dueState, effects: []};
  }
  const {term, primary} = state.view;
  const {target, reason} = proposal;
  const step = {
    kind: 'planned-change-began',
    term,
    primary,
    target,
    reason,
  } as const;
  return {
    state: {
      ...dueState,
      plannedChange: createPlannedChange(term, proposal, nowMs),
    },
    effects: [
      {type: 'record', step},
      {type: 'hold-writes', term},
    ],
  };
}

/**
 * Whether this coordinator may begin the change. The first-ranked coordinator
 * begins at once; each lower rank begins after a longer delay.
 */
function canBeginPlannedChange(
  state: FailoverState,
  dueSinceMs: number,
  nowMs: number,
  policy: FailoverPolicy,
): boolean {
  const delayMs =
    higherRankedCoordinators(state).length * policy.plannedRankDelayMs;
  if (nowMs < dueSinceMs + delayMs) return false;
  if (state.attempt !== undefined || nowMs < state.plannedRetryAtMs) {
    return false;
  }
  return state.assessment?.isMissing === false;
}

function createPlannedChange(
  term: number,
  proposal: PlannedChangeProposal,
  nowMs: number,
): PlannedChange {
  return {
    term,
    target: proposal.target,
    reason: proposal.reason,
    startedAtMs: nowMs,
    phase: PlannedChangePhase.Draining,
    phaseSinceMs: nowMs,
  };
}

function enterNextPhase(
  state: FailoverState,
  planned: PlannedChange,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  if (planned.phase === PlannedChangePhase.Draining) {
    const phase = PlannedChangePhase.CatchingUp;
    const next = {...planned, phase, phaseSinceMs: nowMs};
    return probePrimaryAndTarget(state, next, nowMs, policy);
  }
  const next = {
    ...planned,
    phase: PlannedChangePhase.Electing,
    phaseSinceMs: nowMs,
  };
  const {reason, target} = planned;
  const primary = state.view?.primary;
  const replaced = primary === target ? undefined : primary;
  const electing = {...state, plannedChange: next};
  return requestTerm(electing, reason, target, nowMs, replaced);
}

/** Abandons the planned change and delays the next one. */
function abandonPlannedChange(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const reason = 'the chosen replica did not catch up in time';
  const waiting = {
    ...state,
    plannedRetryAtMs: nowMs + policy.maximumBackoffMs,
  };
  return endPlannedChange(waiting, false, reason, nowMs);
}

/**
 * Probes the positions of the primary and the target at a fixed interval while
 * the target catches up.
 */
function probePrimaryAndTarget(
  state: FailoverState,
  planned: PlannedChange,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const sinceMs = nowMs - (planned.probedAtMs ?? -Infinity);
  const isDue = sinceMs >= policy.catchUpProbeIntervalMs;
  if (planned.phase !== PlannedChangePhase.CatchingUp || !isDue) {
    return {state: {...state, plannedChange: planned}, effects: []};
  }
  const primary = state.view?.primary ?? planned.target;
  const names = [...new Set([primary, planned.target])];
  return {
    state: {...state, plannedChange: {...planned, probedAtMs: nowMs}},
    effects: names.map(instance => ({type: 'probe', instance}) as const),
  };
}
