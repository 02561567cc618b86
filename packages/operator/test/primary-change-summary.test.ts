import {describe, it} from 'node:test';
import type {TimelineEntry} from '@sapphireglade/decisions';
import {expect} from 'earl';
import {
  formatPhaseDurations,
  findPrimaryChanges,
  formatHeadline,
} from '../src/index.js';

const START_MS = Date.UTC(2026, 0, 5, 3, 12, 4);
const FAILOVER = [
  entry('entry-1', 0, 'primary-missed', {term: 1}),
  entry('entry-2', 5, 'primary-missed', {term: 1}),
  entry('entry-1', 900, 'primary-suspected', {term: 1}),
  entry('entry-1', 910, 'term-asked', {term: 2}),
  entry('entry-1', 915, 'write-unconfirmed', {term: 1}),
  entry('entry-1', 930, 'term-granted', {term: 2}),
  entry('entry-1', 960, 'primary-promoted', {term: 2, primary: 'b'}),
  entry('entry-3', 965, 'primary-missed', {term: 1}),
  entry('entry-1', 970, 'view-published', {term: 2}),
];

describe('findPrimaryChanges', () => {
  it('reports the new primary and the duration of each phase', () => {
    const [change] = findPrimaryChanges(FAILOVER);
    expect(formatHeadline(change!)).toEqual(
      'ledger: b became primary in term 2, 0.96 s after the first sign at 03:12:04.000.',
    );
    expect(formatPhaseDurations(change!)).toEqual([
      'Phases: missed +0 ms (entry-1), suspected +900 ms (entry-1), term requested +10 ms (entry-1), granted +20 ms (entry-1), promoted +30 ms (entry-1), view published +10 ms (entry-1).',
      'Writes that ran during the change and were not confirmed: 1.',
    ]);
  });

  const cases = [
    {
      name: 'a late event of the old term',
      next: entry('entry-2', 2_000, 'primary-missed', {term: 1}),
      changes: 1,
    },
    {
      name: 'a failure of the new primary',
      next: entry('entry-2', 2_000, 'primary-missed', {term: 2}),
      changes: 2,
    },
    {
      name: 'a planned change soon after',
      next: entry('entry-2', 2_000, 'planned-change-began', {term: 2}),
      changes: 2,
    },
    {
      name: 'an event of another group',
      next: entry('entry-2', 2_000, 'view-published', {group: 'other'}),
      changes: 2,
    },
    {
      name: 'an event after a long gap',
      next: entry('entry-2', 20_000, 'view-stored', {term: 2}),
      changes: 2,
    },
  ];
  for (const {name, next, changes} of cases) {
    it(`finds ${changes} with ${name}`, () => {
      const found = findPrimaryChanges([...FAILOVER, next]);
      expect(found.length).toEqual(changes);
    });
  }

  it('separates the election of the first primary', () => {
    const found = findPrimaryChanges([
      entry('entry-1', -5_000, 'primary-missed', {term: 0}),
      ...FAILOVER,
    ]);
    expect(found.length).toEqual(2);
    expect(formatHeadline(found[1]!)).toInclude('0.96 s after the first sign');
  });

  it('reports why the primary did not change', () => {
    const reason = 'no majority answered';
    const [change] = findPrimaryChanges([
      entry('entry-1', 0, 'primary-missed', {term: 1}),
      entry('entry-1', 50, 'attempt-failed', {term: 2, reason}),
    ]);
    expect(formatHeadline(change!)).toEqual(
      'ledger: NO change of primary since the first sign at 03:12:04.000; the last attempt failed: no majority answered.',
    );
  });
});

function entry(
  process: string,
  offsetMs: number,
  kind: string,
  fields: Readonly<Record<string, string | number>>,
): TimelineEntry {
  return {
    type: 'event',
    event: {
      process,
      boot: 'boot',
      sequence: offsetMs + 1,
      at: {wallMs: START_MS + offsetMs, counter: 0},
      kind,
      fields: {group: 'ledger', ...fields},
    },
  };
}
