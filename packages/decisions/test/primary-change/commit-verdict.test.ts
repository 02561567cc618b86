import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {CommitVerdictInputs, PrimaryRecord} from '../../src/index.js';
import {
  CommitVerdict,
  commitVerdict,
  PLANNED_CHANGE_ACKNOWLEDGEMENT_MS,
  PrimaryPhase,
} from '../../src/index.js';

const STEADY: PrimaryRecord = {
  term: 3,
  primary: 'a',
  phase: PrimaryPhase.Steady,
};
const CHANGING = {...STEADY, phase: PrimaryPhase.Changing};
const PLANNED = {...CHANGING, isPlanned: true};
const NEXT = {...STEADY, term: 4, primary: 'b'};

function verdict(fields: Partial<CommitVerdictInputs>): CommitVerdict {
  return commitVerdict({
    primary: 'a',
    position: {term: 3, position: 7},
    record: STEADY,
    isViewValid: true,
    changingForMs: 0,
    ...fields,
  });
}

describe('commitVerdict', () => {
  describe('of a commit of the recorded primary', () => {
    it('keeps it while the view is valid, and waits otherwise', () => {
      expect(verdict({})).toEqual(CommitVerdict.Kept);
      expect(verdict({isViewValid: false})).toEqual(CommitVerdict.Pending);
      expect(verdict({record: undefined})).toEqual(CommitVerdict.Pending);
    });

    it('waits if the instance leads another term', () => {
      const position = {term: 2, position: 7};
      expect(verdict({position})).toEqual(CommitVerdict.Pending);
    });
  });

  describe('of a commit during a change', () => {
    it('waits if the change is not planned', () => {
      expect(verdict({record: CHANGING})).toEqual(CommitVerdict.Pending);
    });

    it('keeps it in a planned change for a while, until a target is chosen', () => {
      expect(verdict({record: PLANNED})).toEqual(CommitVerdict.Kept);
      const changingForMs = PLANNED_CHANGE_ACKNOWLEDGEMENT_MS;
      const isLate = {record: PLANNED, changingForMs};
      expect(verdict(isLate)).toEqual(CommitVerdict.Pending);
      const record = {...PLANNED, target: 'b'};
      expect(verdict({record})).toEqual(CommitVerdict.Pending);
    });
  });

  describe('of a commit during a planned change that was announced anew', () => {
    it('waits, because an order may have taken effect', () => {
      const record = {...PLANNED, orders: 1};
      expect(verdict({record})).toEqual(CommitVerdict.Pending);
    });
  });

  describe('of a commit of a primary that was replaced', () => {
    for (const [name, initialPosition, expected] of [
      ['keeps it up to the start of the term', {term: 3, position: 7}, 'kept'],
      ['drops it beyond the start', {term: 3, position: 6}, 'unknown'],
      [
        'drops it if a later term is between',
        {term: 4, position: 9},
        'unknown',
      ],
      ['waits if the start is not known', undefined, 'pending'],
    ] as const) {
      it(name, () => {
        expect(verdict({record: {...NEXT, initialPosition}})).toEqual(expected);
      });
    }
  });
});
