import type {GroupView} from '../groups/index.js';
import {newerView} from '../groups/index.js';
import type {FailoverState} from './types.js';
import {selectLaterVoterSets} from './voter-sets.js';

/**
 * Adopts a view if its term is higher, and clears the state that it supersedes:
 * the assessment, the suspicion, the follow requests and the failure count.
 */
export function adoptView(
  state: FailoverState,
  view: GroupView,
  nowMs: number,
): FailoverState {
  if (newerView(state.view, view) === state.view) return state;
  const instances = new Map(
    [...state.instances].map(([name, known]) => {
      const hasHigherTerm = (known.report?.grantedTerm ?? 0) > view.term;
      const higherSinceMs = hasHigherTerm ? known.higherTermSinceMs : undefined;
      return [name, {...known, higherTermSinceMs: higherSinceMs}] as const;
    }),
  );
  return {
    ...state,
    instances,
    view,
    laterVoterSets: selectLaterVoterSets(state.laterVoterSets, view),
    knowsLedTerm: true,
    termFloor: undefined,
    viewAdoptedAtMs: nowMs,
    highestTerm: Math.max(state.highestTerm, view.term),
    assessment: undefined,
    suspectedSinceMs: undefined,
    followRequestedAtMs: new Map(),
    failures: 0,
  };
}
