import {describe, it} from 'node:test';
import {Outcome} from '@sapphireglade/decisions';
import {expect} from 'earl';
import type {History, InstanceHistory, RecordedWrite} from '../src/index.js';
import {checkHistory, ViolationKind} from '../src/index.js';

const GROUP = 'ledger';

function write(change: Partial<RecordedWrite> = {}): RecordedWrite {
  return {
    group: GROUP,
    key: 'a',
    idempotent: false,
    outcome: Outcome.Done,
    term: 1,
    startedAt: 100,
    endedAt: 110,
    ...change,
  };
}

/** An instance whose log has one entry for each key. */
function instance(
  number: number,
  keys: readonly string[],
  change: Partial<InstanceHistory> = {},
): InstanceHistory {
  return {
    group: GROUP,
    instance: `instance-${number}`,
    role: number === 1 ? 'primary' : 'replica',
    term: 1,
    entries: keys.map((key, index) => ({
      term: 1,
      position: index + 1,
      committedAt: 0,
      changes: [{table: 'bookings', keyColumn: 'id', key, row: {id: key}}],
    })),
    termEvents: [],
    runs: new Map(),
    ...change,
  };
}

function kindsOf(history: Partial<History>): string[] {
  const complete = {writes: [], reads: [], instances: [], ...history};
  return checkHistory(complete).map(({kind}) => kind);
}

const GRANTED = {
  kind: 'granted' as const,
  term: 2,
  at: 50,
  position: {term: 1, position: 1},
  droppedEntries: 0,
};

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly history: Partial<History>;
  readonly expected: readonly string[];
}> = [
  {
    name: 'a done booking that is in the log once',
    history: {writes: [write()], instances: [instance(1, ['a'])]},
    expected: [],
  },
  {
    name: 'a done booking that is not in the log',
    history: {writes: [write()], instances: [instance(1, [])]},
    expected: [ViolationKind.LostWrite],
  },
  {
    name: 'a booking that is in the log twice',
    history: {writes: [write()], instances: [instance(1, ['a', 'a'])]},
    expected: [ViolationKind.DuplicateWrite],
  },
  {
    name: 'a booking that is only in the log of an older primary',
    history: {
      writes: [write()],
      instances: [
        instance(1, ['a']),
        instance(2, [], {role: 'primary', term: 2}),
      ],
    },
    expected: [ViolationKind.LostWrite],
  },
  {
    name: 'a not run booking that is in the log',
    history: {
      writes: [write({outcome: Outcome.NotRun})],
      instances: [instance(1, ['a'])],
    },
    expected: [ViolationKind.FalseNotRun],
  },
  {
    name: 'a not run booking that ran and was dropped',
    history: {
      writes: [write({outcome: Outcome.NotRun})],
      instances: [instance(1, [], {runs: new Map([['a', 1]])})],
    },
    expected: [ViolationKind.FalseNotRun],
  },
  {
    name: 'an unknown booking that is not in the log',
    history: {
      writes: [write({outcome: Outcome.Unknown})],
      instances: [instance(1, [])],
    },
    expected: [],
  },
  {
    name: 'a booking that ran at two instances',
    history: {
      writes: [write()],
      instances: [
        instance(1, ['a'], {runs: new Map([['a', 1]])}),
        instance(2, ['a'], {runs: new Map([['a', 1]])}),
      ],
    },
    expected: [ViolationKind.RanTwice],
  },
  {
    name: 'an idempotent booking that ran at two instances',
    history: {
      writes: [write({idempotent: true})],
      instances: [
        instance(1, ['a'], {runs: new Map([['a', 1]])}),
        instance(2, ['a'], {runs: new Map([['a', 1]])}),
      ],
    },
    expected: [],
  },
  {
    name: 'an acknowledgement after a majority granted a higher term',
    history: {
      writes: [write()],
      instances: [
        instance(1, ['a']),
        instance(2, ['a'], {termEvents: [GRANTED]}),
        instance(3, ['a'], {termEvents: [{...GRANTED, at: 60}]}),
      ],
    },
    expected: [ViolationKind.StaleAcknowledgement],
  },
  {
    name: 'an acknowledgement after one instance of three granted a higher term',
    history: {
      writes: [write()],
      instances: [
        instance(1, ['a']),
        instance(2, ['a'], {termEvents: [GRANTED]}),
        instance(3, ['a']),
      ],
    },
    expected: [],
  },
  {
    name: 'a session that does not read its own booking',
    history: {
      reads: [{group: GROUP, key: 'a', outcome: Outcome.Done, wasFound: false}],
      instances: [instance(1, ['a'])],
    },
    expected: [ViolationKind.OwnWriteNotRead],
  },
  {
    name: 'a group without a primary',
    history: {instances: [instance(2, [])]},
    expected: [ViolationKind.NoFinalPrimary],
  },
];

describe('checkHistory', () => {
  for (const {name, history, expected} of CASES) {
    it(`finds ${expected.join(', ') || 'nothing'} in ${name}`, () => {
      expect(kindsOf(history)).toEqual([...expected]);
    });
  }
});
