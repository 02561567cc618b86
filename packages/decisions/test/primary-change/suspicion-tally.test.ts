import {describe, it} from 'node:test';
import {expect} from 'earl';
import {shouldReplacePrimary, tallySuspicions} from '../../src/index.js';

const SUSPECTING = {suspects: ['ledger']};
const TRUSTING = {suspects: []};
const OUTDATED = {suspects: ['ledger'], suspectedTerms: [0]};
const LATER = {suspects: ['ledger'], suspectedTerms: [2]};
const UNABLE = {suspects: [], unobserved: ['ledger']};

describe('tallySuspicions', () => {
  const cases = [
    ['all owners', [SUSPECTING, SUSPECTING, SUSPECTING], true],
    ['a minority', [SUSPECTING, TRUSTING, TRUSTING], false],
    ['the only owner that can judge', [SUSPECTING, UNABLE, UNABLE], true],
    [
      'half of the owners that can judge',
      [SUSPECTING, TRUSTING, UNABLE],
      false,
    ],
    ['all owners, but a former one', [OUTDATED, OUTDATED, OUTDATED], false],
    ['the owner that knows the record', [SUSPECTING, OUTDATED], true],
    ['a minority of those that know it', [TRUSTING, OUTDATED], false],
    ['all owners, or a later one', [LATER, LATER], true],
    ['nobody who can judge', [UNABLE, UNABLE], false],
  ] as const;
  for (const [name, judgements, isReplaced] of cases) {
    it(`leads to ${isReplaced ? 'a' : 'no'} replacement if ${name} suspect the primary`, () => {
      const tally = tallySuspicions('ledger', 1, judgements);
      expect(shouldReplacePrimary({...tally, isPrimaryRemoved: false})).toEqual(
        isReplaced,
      );
    });
  }

  it('counts a proxy that cannot judge another group', () => {
    const judgement = {suspects: ['ledger'], unobserved: ['stock']};
    expect(tallySuspicions('ledger', 1, [judgement])).toEqual({
      members: 1,
      suspectingMembers: 1,
    });
  });
});
