import type {GroupView} from '../groups/index.js';
import {newerView} from '../groups/index.js';
import type {FailoverState} from './types.js';

/** Takes in a view if its term is higher, and forgets what it settles. */
export function adoptView(
  state: FailoverState,
  view: GroupView,
  nowMs: number,
): FailoverState {
  if (newerView(state.view, view) === state.view) return state;
  const instances = new Map(
    [...state.instances].map(([name, known]) => {
      const isAhead = (known.report?.grantedTerm ?? 0) > view.term;
      const aheadSinceMs = isAhead ? known.higherTermSinceMs : undefined;
      return [name, {...known, higherTermSinceMs: aheadSinceMs}] as const;
    }),
  );
  return {
    ...state,
    instances,
    view,
    viewAdoptedAtMs: nowMs,
    highestTerm: Math.max(state.highestTerm, view.term),
    assessment: undefined,
    suspectedSinceMs: undefined,
    followRequestedAtMs: new Map(),
    failures: 0,
  };
}
