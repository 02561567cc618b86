import {describe, it} from 'node:test';
import {expect} from 'earl';
import {InstanceState} from '../src/core/instance/instance-state.js';

const FIRST = {term: 1, instances: ['ledger-1', 'ledger-2']};
const PROPOSED = {term: 2, instances: ['ledger-1', 'ledger-3'], version: 2};
const LATER = {term: 3, instances: ['ledger-2', 'ledger-3'], version: 3};

function grant(state: InstanceState, voters: typeof PROPOSED): void {
  state.grant({term: voters.term, coordinator: 'entry-a', voters});
}

describe('the voter sets that an instance keeps', () => {
  it('include those of each term that it granted', () => {
    const state = new InstanceState(undefined, FIRST.instances);
    grant(state, PROPOSED);
    grant(state, LATER);
    expect(state.keptVoterSets).toEqual({
      voterSets: [FIRST],
      proposedVoterSets: [LATER, PROPOSED],
    });
  });

  it('are replaced by those of the term in which it leads', () => {
    const state = new InstanceState(undefined, FIRST.instances);
    grant(state, PROPOSED);
    state.promote(PROPOSED.term, [], [PROPOSED, FIRST]);
    expect(state.keptVoterSets).toEqual({
      voterSets: [PROPOSED, FIRST],
      proposedVoterSets: [],
    });
  });
});
