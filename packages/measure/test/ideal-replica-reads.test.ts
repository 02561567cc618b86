import {describe, it} from 'node:test';
import {expect} from 'earl';
import {countIdealReplicaReads} from '../src/index.js';

/** A booking committed at 1,000 ms. */
const ENTRIES = [
  {
    term: 1,
    position: 1,
    committedAt: 1_000,
    changes: [{table: 't', keyColumn: 'id', key: 'a', row: {id: 'a'}}],
  },
];

describe('countIdealReplicaReads', () => {
  const cases = [
    {name: 'lag within the age', at: 1_200, lags: [500], possible: 1},
    {
      name: 'missing entry older than the age',
      at: 2_500,
      lags: [5_000],
      possible: 0,
    },
    {name: 'nothing missing', at: 6_500, lags: [5_000], possible: 1},
    {name: 'nothing written yet', at: 900, lags: [5_000], possible: 1},
    {name: 'one of two is fresh', at: 2_500, lags: [5_000, 50], possible: 1},
    {
      name: 'own booking missing',
      at: 1_020,
      ownKey: 'a',
      lags: [50],
      possible: 0,
    },
    {
      name: 'own booking replicated',
      at: 1_060,
      ownKey: 'a',
      lags: [50],
      possible: 1,
    },
  ];
  it('treats entries written before the lag began as replicated', () => {
    const lagged = {entries: ENTRIES, lags: [5_000], allowedAgeMs: 1_000};
    const reads = [{at: 2_500, ownKey: undefined}];
    const count = (lagsSince: number): number =>
      countIdealReplicaReads(reads, {...lagged, lagsSince});
    expect([count(900), count(1_100)]).toEqual([0, 1]);
  });

  for (const {name, at, ownKey, lags, possible} of cases) {
    it(`gives ${possible} for ${name}`, () => {
      const truth = {
        entries: ENTRIES,
        lags,
        lagsSince: 0,
        allowedAgeMs: 1_000,
      };
      expect(countIdealReplicaReads([{at, ownKey}], truth)).toEqual(possible);
    });
  }
});
