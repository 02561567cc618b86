import type {ClockReading, PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {DatabaseGroup} from '../../src/index.js';

/** Position of the old primary's last acknowledged commit. */
const LAST_OF_OLD_TERM = {term: 1, position: 202};

const STEADY: PrimaryRecord = {
  term: 1,
  primary: 'old',
  phase: PrimaryPhase.Steady,
};

const TARGET_CHOSEN: PrimaryRecord = {
  term: 1,
  primary: 'old',
  phase: PrimaryPhase.Changing,
  orders: 1,
  target: 'new',
  lastPosition: LAST_OF_OLD_TERM,
};

/** What the clocks showed a while ago, in milliseconds. */
function before(milliseconds: number): ClockReading {
  return {
    steadyMs: performance.now() - milliseconds,
    wallMs: Date.now() - milliseconds,
  };
}

describe('DatabaseGroup', () => {
  describe('a record of a change of primary that is learned late', () => {
    it('says nothing of what was acknowledged after the store last confirmed the old one', () => {
      const group = new DatabaseGroup('ledger');
      const confirmedAt = before(3_000);
      group.learnRecord({record: STEADY, revision: 10});
      group.confirm(confirmedAt);

      group.learnRecord({record: TARGET_CHOSEN, revision: 12});

      const {positions} = group;
      const {steadyMs} = confirmedAt;
      expect(positions.positionFor(steadyMs + 1)).toEqual(undefined);
      expect(positions.positionFor(steadyMs)?.position).toEqual(
        LAST_OF_OLD_TERM,
      );
    });
  });
});
