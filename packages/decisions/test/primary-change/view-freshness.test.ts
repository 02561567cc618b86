import {describe, it} from 'node:test';
import {expect} from 'earl';
import {elapsedMs, ViewFreshness} from '../../src/index.js';

const VALIDITY_MS = 1_500;

describe('ViewFreshness', () => {
  const rows: ReadonlyArray<
    [name: string, steadyMs: number, wallMs: number, isValid: boolean]
  > = [
    ['just confirmed', 0, 0, true],
    ['a little younger than its validity', 1_499, 1_499, true],
    ['as old as its validity', 1_500, 1_500, false],
    ['old by the steady clock, the time of day set back', 1_600, -4_000, false],
    ['old by the time of day after a suspension', 10, 5_000, false],
    ['young by both clocks', 10, -4_000, true],
  ];
  for (const [name, steadyMs, wallMs, isValid] of rows) {
    it(`is ${isValid ? 'valid' : 'not valid'} when ${name}`, () => {
      const freshness = new ViewFreshness(VALIDITY_MS);
      freshness.confirm({steadyMs: 1_000, wallMs: 9_000});
      const now = {steadyMs: 1_000 + steadyMs, wallMs: 9_000 + wallMs};
      expect(freshness.isValid(now)).toEqual(isValid);
    });
  }

  it('is not valid before anything confirmed it', () => {
    const freshness = new ViewFreshness(VALIDITY_MS);
    expect(freshness.isValid({steadyMs: 0, wallMs: 0})).toEqual(false);
  });

  it('keeps the later of two answers that arrive out of order', () => {
    const freshness = new ViewFreshness(VALIDITY_MS);
    freshness.confirm({steadyMs: 2_000, wallMs: 2_000});
    freshness.confirm({steadyMs: 1_000, wallMs: 1_000});
    expect(freshness.isValid({steadyMs: 3_400, wallMs: 3_400})).toEqual(true);
  });
});

describe('elapsedMs', () => {
  it('takes the clock that ran further', () => {
    const from = {steadyMs: 0, wallMs: 0};
    expect(elapsedMs(from, {steadyMs: 5, wallMs: 900})).toEqual(900);
    expect(elapsedMs(from, {steadyMs: 7, wallMs: -900})).toEqual(7);
  });
});
