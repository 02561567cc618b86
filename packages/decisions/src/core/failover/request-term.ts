import {beginAttempt} from './election-attempt.js';
import {chooseVoters, requireVoterSets} from './voter-sets.js';
import type {FailoverResult, FailoverState} from './types.js';

/**
 * Begins an attempt and sends a grant request for the next term to every
 * instance.
 *
 * @param reason - Reason of the attempt, recorded on the time line.
 * @param preferred - Instance that is preferred when logs are equal.
 * @param replaced - Instance that a planned change replaces.
 */
export function requestTerm(
  state: FailoverState,
  reason: string,
  preferred: string | undefined,
  nowMs: number,
  replaced?: string,
): FailoverResult {
  const term = Math.max(state.highestTerm, state.view?.term ?? 0) + 1;
  const begun = beginAttempt(term, reason, preferred, nowMs, replaced);
  const voters = {...chooseVoters(state, preferred !== undefined), term};
  const attempt = requireVoterSets({...begun, voterSets: [voters]}, state);
  const grants = state.group.instances.map(
    ({name}) => ({type: 'grant', instance: name, term, voters}) as const,
  );
  return {
    state: {...state, attempt, highestTerm: term},
    effects: [
      {type: 'record', step: {kind: 'term-asked', term, reason}},
      ...grants,
    ],
  };
}
