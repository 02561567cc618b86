import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {TargetInputs} from '../../src/index.js';
import type {InputFilter, RecordFilter} from './group-under-faults.js';
import {GroupUnderFaults} from './group-under-faults.js';

const INDEX = fc.nat({max: 5});

/** Events of a group; changes and writes are the most frequent. */
const EVENT = fc.oneof(
  {weight: 6, arbitrary: fc.constant({kind: 'write'} as const)},
  {weight: 4, arbitrary: fc.constant({kind: 'change'} as const)},
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('deaf' as const), index: INDEX}),
  },
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('crash' as const), index: INDEX}),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const),
      index: INDEX,
      keepsLog: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('leave' as const), index: INDEX}),
  },
  {weight: 2, arbitrary: fc.constant({kind: 'add'} as const)},
  {weight: 3, arbitrary: fc.constant({kind: 'bound'} as const)},
  {weight: 3, arbitrary: fc.constant({kind: 'coordinator'} as const)},
);

type GroupEvent =
  typeof EVENT extends fc.Arbitrary<infer Event> ? Event : never;

const HISTORY = fc.array(EVENT, {minLength: 5, maxLength: 40});

function apply(group: GroupUnderFaults, event: GroupEvent): void {
  switch (event.kind) {
    case 'write':
      return group.write();
    case 'change':
      return group.changePrimary();
    case 'deaf':
      return group.toggleDeaf(event.index);
    case 'crash':
      return group.crash(event.index);
    case 'restart':
      return group.restart(event.index, event.keepsLog);
    case 'leave':
      return group.leave(event.index);
    case 'add':
      return group.add();
    case 'bound':
      return group.boundDepartures();
    case 'coordinator':
      return group.changeCoordinator();
  }
}

/** Plays random histories; returns the groups in their last state. */
function playHistories(
  runs: number,
  filter?: InputFilter,
  recordFilter?: RecordFilter,
): GroupUnderFaults[] {
  return fc.sample(HISTORY, {seed: 26, numRuns: runs}).map(history => {
    const group = new GroupUnderFaults(filter, recordFilter);
    for (const event of history) apply(group, event);
    return group;
  });
}

function countLossy(groups: readonly GroupUnderFaults[]): number {
  return groups.filter(({lost}) => lost.length > 0).length;
}

/** Filters that remove one thing that the choice relies on. */
const BROKEN: ReadonlyArray<{
  readonly name: string;
  readonly filter: (inputs: TargetInputs) => TargetInputs;
}> = [
  {
    name: 'counts "all that are left have reported" as a proof',
    filter: inputs => ({...inputs, unverifiedDepartures: []}),
  },
  {
    name: 'ignores the start of the term and what instances had before they lost their logs',
    filter: inputs => ({...inputs, minimumPosition: undefined}),
  },
  {
    name: 'ignores replicas that have not reported',
    filter: inputs => ({
      ...inputs,
      replicas: inputs.replicas.filter(({report}) => report !== undefined),
    }),
  },
];

/** Filters that hide from a new coordinator what the one before knew. */
const BROKEN_RECORDS: ReadonlyArray<{
  readonly name: string;
  readonly filter: RecordFilter;
}> = [
  {
    name: 'a new coordinator does not know who belonged to the group in the term',
    filter: record => ({...record, confirmers: undefined}),
  },
  {
    name: 'a new coordinator does not know up to where departed instances confirmed',
    filter: ({confirmers, ...record}) => ({
      ...record,
      confirmers: confirmers && {instances: confirmers.instances},
    }),
  },
];

describe('chooseTarget in a group whose instances go deaf, crash, restart and leave', () => {
  it('drops no acknowledged commit without saying so', () => {
    const groups = playHistories(20_000);
    expect(countLossy(groups)).toEqual(0);
    expect(groups.some(({promotions}) => promotions > 2)).toEqual(true);
  });

  it('gives a verdict on most promotions', () => {
    const groups = playHistories(5_000);
    const total = groups.reduce((sum, {promotions}) => sum + promotions, 0);
    const open = groups.reduce((sum, {unverified}) => sum + unverified, 0);
    expect(open * 4 < total).toEqual(true);
  });

  for (const {name, filter} of BROKEN) {
    it(`loses acknowledged commits if it ${name}`, () => {
      expect(countLossy(playHistories(20_000, filter)) > 0).toEqual(true);
    });
  }

  for (const {name, filter} of BROKEN_RECORDS) {
    it(`loses acknowledged commits if ${name}`, () => {
      const groups = playHistories(20_000, undefined, filter);
      expect(countLossy(groups) > 0).toEqual(true);
    });
  }
});
