import {PrimaryPhase} from '@sapphireglade/decisions';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {commitsToInclude, AcknowledgedCommits} from '../../src/index.js';

describe('commitsToInclude', () => {
  const shown = {term: 2, position: 10};

  function boundIn(
    term: number,
    initialPosition: {term: number; position: number} | undefined,
  ): unknown {
    const acknowledged = new AcknowledgedCommits();
    acknowledged.record(shown);
    const phase = PrimaryPhase.Steady;
    const record = {term, primary: 'primary', phase, initialPosition};
    return commitsToInclude({acknowledged, record: {record}}).position;
  }

  it('is the position that was shown with the last commit of the term', () => {
    expect(boundIn(2, {term: 1, position: 4})).toEqual(shown);
  });

  it('is the start of a later term, which may have dropped what was shown', () => {
    const start = {term: 2, position: 9};
    expect(boundIn(3, start)).toEqual(start);
  });

  // Guards against the start of an older term, which a recovered record may name.
  it('is the position that was shown if the recorded start lies before its term', () => {
    expect(boundIn(3, {term: 1, position: 4})).toEqual(shown);
    expect(boundIn(3, undefined)).toEqual(shown);
  });

  it('is unknown after a commit without a position', () => {
    const acknowledged = new AcknowledgedCommits();
    acknowledged.record(undefined);
    expect(commitsToInclude({acknowledged, record: undefined})).toEqual({
      position: undefined,
      isComplete: false,
    });
  });
});
