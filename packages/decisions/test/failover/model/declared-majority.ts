import type {
  FailoverEvent,
  FailoverPolicy,
  FailoverResult,
  FailoverState,
} from '../../../src/index.js';
import {stepFailover} from '../../../src/index.js';
import type {ModelDecisions} from './model-node.js';
import {PRODUCT_DECISIONS} from './model-node.js';

/**
 * Decisions to compare with: majorities of the instances that are declared to a
 * lead owner grant its terms and confirm its writes.
 */
export const DECLARED_MAJORITY_DECISIONS: ModelDecisions = {
  ...PRODUCT_DECISIONS,
  step: stepByDeclaration,
};

function stepByDeclaration(
  state: FailoverState,
  event: FailoverEvent,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const group = event.type === 'configured' ? event.group : state.group;
  const before = withDeclaredVoters({...state, group});
  // The event itself compares the declared instances with the former ones.
  const received = {...before, group: state.group};
  const result = stepFailover(received, event, nowMs, policy);
  return {...result, state: withDeclaredVoters(result.state)};
}

function withDeclaredVoters(state: FailoverState): FailoverState {
  const {group, view, declaredVersion: version} = state;
  const term = view?.term ?? 0;
  const instances = group.instances.map(({name}) => name);
  return {
    ...state,
    view: view && {...view, voterSets: [{term, instances, version}]},
    assumedVoters: instances,
    laterVoterSets: [],
    knowsLedTerm: true,
    establishedTerm: term,
  };
}
