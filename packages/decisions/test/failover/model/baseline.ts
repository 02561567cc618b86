import type {
  FailoverEffect,
  FailoverEvent,
  FailoverResult,
  FailoverState,
  GroupView,
} from '../../../src/index.js';
import {
  beginAttempt,
  ConfirmationState,
  newerView,
  viewFromReport,
} from '../../../src/index.js';
import type {ModelDecisions} from './model-node.js';

/**
 * Simple decisions to compare with: a fixed time-out of one observer, promotion
 * of the first replica that answers, and acknowledgement by the primary alone.
 */
export const BASELINE_DECISIONS: ModelDecisions = {
  step: stepBaseline,
  applyObservation: write => write,
  evaluateWrite: () => ConfirmationState.Confirmed,
};

function stepBaseline(
  state: FailoverState,
  event: FailoverEvent,
  nowMs: number,
): FailoverResult {
  switch (event.type) {
    case 'unreachable':
      if (event.instance !== state.view?.primary) return withoutEffects(state);
      return requestGrants(state, nowMs);
    case 'tick':
      return state.view === undefined
        ? requestGrants(state, nowMs)
        : withoutEffects(state);
    case 'grant-answer': {
      const {term, instance, answer} = event;
      const isFirstGrant =
        state.attempt?.term === term && answer?.granted === true;
      if (!isFirstGrant) return withoutEffects(state);
      const promoted = {...state, attempt: undefined};
      return {
        state: promoted,
        effects: [{type: 'promote', instance, term, voterSets: []}],
      };
    }
    case 'promotion-answer': {
      if (event.outcome !== 'promoted') return withoutEffects(state);
      const {term, instance: primary} = event;
      const own = {group: state.group.name, term, primary, termStarts: []};
      const view = {...own, voterSets: []};
      return adoptViewAndRequestFollow(state, view, [{type: 'publish', view}]);
    }
    case 'reported': {
      const view = viewFromReport(state.group.name, event.report);
      return view === undefined
        ? withoutEffects(state)
        : adoptViewAndRequestFollow(state, view, []);
    }
    case 'view':
      return adoptViewAndRequestFollow(state, event.view, []);
    default:
      return withoutEffects(state);
  }
}

function requestGrants(state: FailoverState, nowMs: number): FailoverResult {
  const hasOpenRequest = nowMs - (state.attempt?.startedAtMs ?? -Infinity) < 40;
  if (hasOpenRequest) return withoutEffects(state);
  const term = state.highestTerm + 1;
  const attempt = beginAttempt(term, 'no answer', undefined, nowMs);
  const replicas = state.group.instances.filter(
    ({name}) => name !== state.view?.primary,
  );
  return {
    state: {...state, attempt, highestTerm: term},
    effects: replicas.map(({name}) => ({
      type: 'grant',
      instance: name,
      term,
      voters: {term, instances: state.assumedVoters},
    })),
  };
}

/** Adopts a newer view and sends follow requests to the other instances. */
function adoptViewAndRequestFollow(
  state: FailoverState,
  view: GroupView,
  effects: readonly FailoverEffect[],
): FailoverResult {
  if (newerView(state.view, view) === state.view) return withoutEffects(state);
  const {term, primary} = view;
  const follows = state.group.instances
    .filter(({name}) => name !== primary)
    .map(
      ({name}) => ({type: 'follow', instance: name, term, primary}) as const,
    );
  const highestTerm = Math.max(state.highestTerm, term);
  const adopted = {...state, view, highestTerm, attempt: undefined};
  return {state: adopted, effects: [...effects, ...follows]};
}

function withoutEffects(state: FailoverState): FailoverResult {
  return {state, effects: []};
}
