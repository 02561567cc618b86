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
  lastBehindAtMs: -Infinity,
  lastFailedAtMs: -Infinity,
};

const PRIMARY: InstanceCandidate = {...REPLICA, id: 'primary', isPrimary: true};

const ROWS: ReadonlyArray<
  [name: string, options: readonly InstanceCandidate[], first: string]
> = [
  ['the replica, to keep the primary free', [PRIMARY, REPLICA], 'replica'],
  [
    'the primary, where the replica is behind a paid link',
    [PRIMARY, {...REPLICA, isPaidLink: true, roundTripMs: 16}],
    'primary',
  ],
  [
    'the primary, where requests wait at the replica',
    [PRIMARY, {...REPLICA, free: 0, queued: 3}],
    'primary',
  ],
  [
    'the primary, just after the replica was behind',
    [PRIMARY, {...REPLICA, lastBehindAtMs: NOW_MS - 100}],
    'primary',
  ],
  [
    'the replica, some time after it was behind',
    [PRIMARY, {...REPLICA, lastBehindAtMs: NOW_MS - 400}],
    'replica',
  ],
  [
    'the primary, just after the replica failed',
    [PRIMARY, {...REPLICA, lastFailedAtMs: NOW_MS - 900}],
    'primary',
  ],
];

describe('rankInstances', () => {
  for (const [name, options, first] of ROWS) {
    it(`puts first ${name}`, () => {
      expect(rankInstances(options, NOW_MS)[0]?.id).toEqual(first);
    });
  }

  it('leaves no option out', () => {
    const all = [PRIMARY, REPLICA, {...REPLICA, id: 'other', free: 0}];
    expect(rankInstances(all, NOW_MS).length).toEqual(3);
  });
});
