import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {InstanceCandidate} from '../../src/index.js';
import {rankInstances} from '../../src/index.js';

const NOW_MS = 10_000;

const REPLICA: InstanceCandidate = {
  id: 'replica',
  isPrimary: false,
  roundTripMs: 1,
  isPaidLink: false,
  queued: 0,
  connections: 2,
  free: 1,
  holdingMs: 30,
  catchUpMs: 0,
  lastFailedAtMs: -Infinity,
};

const PRIMARY: InstanceCandidate = {...REPLICA, id: 'primary', isPrimary: true};

const ROWS: ReadonlyArray<
  [name: string, candidates: readonly InstanceCandidate[], first: string]
> = [
  ['the replica, to reduce load on the primary', [PRIMARY, REPLICA], 'replica'],
  [
    'the primary if the replica is behind a paid link',
    [PRIMARY, {...REPLICA, isPaidLink: true, roundTripMs: 16}],
    'primary',
  ],
  [
    'the primary if requests are queued for the replica',
    [PRIMARY, {...REPLICA, free: 0, queued: 3}],
    'primary',
  ],
  [
    'a far primary with a queue if the replica is behind',
    [
      {...PRIMARY, isPaidLink: true, roundTripMs: 16, free: 0, queued: 9},
      {...REPLICA, catchUpMs: 5},
    ],
    'primary',
  ],
  [
    'the replica that is the least behind if all are',
    [
      {...REPLICA, id: 'far behind', catchUpMs: 900},
      {...REPLICA, catchUpMs: 20},
    ],
    'replica',
  ],
  [
    'the primary shortly after the replica failed',
    [PRIMARY, {...REPLICA, lastFailedAtMs: NOW_MS - 900}],
    'primary',
  ],
];

describe('rankInstances', () => {
  for (const [name, candidates, first] of ROWS) {
    it(`ranks first ${name}`, () => {
      expect(rankInstances(candidates, NOW_MS)[0]?.id).toEqual(first);
    });
  }

  it('returns every candidate', () => {
    const all = [PRIMARY, REPLICA, {...REPLICA, id: 'other', free: 0}];
    expect(rankInstances(all, NOW_MS).length).toEqual(3);
  });
});
