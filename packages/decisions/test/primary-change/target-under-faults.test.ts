import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {TargetInputs} from '../../src/index.js';
import type {InputFilter, RecordFilter} from './group-under-faults.js';
import {GroupUnderFaults} from './group-under-faults.js';

const INDEX = fc.nat({max: 5});

/** Events of a group; changes and writes are the most frequent. */
const FAULT_EVENT = fc.oneof(
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
    arbitrary: fc.record({kind: fc.constant('lose' as const), index: INDEX}),
  },
  {weight: 2, arbitrary: fc.constant({kind: 'add'} as const)},
  {weight: 3, arbitrary: fc.constant({kind: 'bound'} as const)},
  {weight: 3, arbitrary: fc.constant({kind: 'coordinator'} as const)},
);

/** Events of a group whose instances also announce that they leave, or lapse and return. */
const ABSENCE_EVENT = fc.oneof(
  {weight: 29, arbitrary: FAULT_EVENT},
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('announce' as const),
      index: INDEX,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('leave' as const), index: INDEX}),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('lapse' as const),
      index: INDEX,
      keepsLog: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('return' as const), index: INDEX}),
  },
  {weight: 2, arbitrary: fc.constant({kind: 'cut'} as const)},
);

/** Events of a group whose coordinators also do not see the results of their orders. */
const ORDER_EVENT = fc.oneof(
  {weight: 43, arbitrary: ABSENCE_EVENT},
  {weight: 5, arbitrary: fc.constant({kind: 'order'} as const)},
  {weight: 6, arbitrary: fc.constant({kind: 'promote'} as const)},
);

type GroupEvent =
  typeof ORDER_EVENT extends fc.Arbitrary<infer Event> ? Event : never;

const FAULTS = fc.array(FAULT_EVENT, {minLength: 5, maxLength: 40});

const ABSENCES = fc.array(ABSENCE_EVENT, {
  minLength: 5,
  maxLength: 50,
  size: 'max',
});

function apply(group: GroupUnderFaults, event: GroupEvent): void {
  switch (event.kind) {
    case 'write':
      return group.write();
    case 'change':
      return group.changePrimary();
    case 'order':
      return group.changePrimary(false);
    case 'promote':
      return group.promoteLate();
    case 'deaf':
      return group.toggleDeaf(event.index);
    case 'crash':
      return group.crash(event.index);
    case 'restart':
      return group.restart(event.index, event.keepsLog);
    case 'announce':
      return group.announceLeave(event.index);
    case 'leave':
      return group.leave(event.index);
    case 'lose':
      return group.lose(event.index);
    case 'lapse':
      return group.lapse(event.index, event.keepsLog);
    case 'return':
      return group.comeBack(event.index);
    case 'cut':
      return group.cutPrimary();
    case 'add':
      return group.add();
    case 'bound':
      return group.boundDepartures();
    case 'coordinator':
      return group.changeCoordinator();
  }
}

const LATE_ORDERS = fc.array(ORDER_EVENT, {
  minLength: 5,
  maxLength: 50,
  size: 'max',
});

/** Plays random histories; returns the groups in their last state. */
function playHistories(
  runs: number,
  filter?: InputFilter,
  recordFilter?: RecordFilter,
  histories: fc.Arbitrary<GroupEvent[]> = FAULTS,
): GroupUnderFaults[] {
  return fc.sample(histories, {seed: 26, numRuns: runs}).map(history => {
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

/** Takes the lapse of an entry as a proof that the log is gone. */
const ignoreReturns: InputFilter = inputs => ({...inputs, mayReturn: []});

/** Hides from a new coordinator which bounded instances may return. */
const hideAbsent: RecordFilter = ({confirmers, ...record}) => ({
  ...record,
  confirmers: confirmers && {...confirmers, absent: undefined},
});

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

describe('chooseTarget in a group whose instances lapse, return, announce that they leave and are lost', () => {
  const absences = (runs: number, filter?: InputFilter): GroupUnderFaults[] =>
    playHistories(runs, filter, undefined, ABSENCES);

  it('promotes no instance without an acknowledged commit that another one has or returns with', () => {
    const groups = absences(20_000);
    expect(countLossy(groups)).toEqual(0);
    expect(groups.some(({promotions}) => promotions > 2)).toEqual(true);
    expect(groups.some(({unverified}) => unverified > 0)).toEqual(true);
  });

  it('loses acknowledged commits if the lapse of an entry counts as a proof', () => {
    const groups = absences(20_000, ignoreReturns);
    expect(countLossy(groups) > 0).toEqual(true);
  });

  it('ends each change once every instance has returned or is known to be gone', () => {
    const groups = absences(10_000).filter(
      ({lostInstances, hasForgottenLeave}) =>
        lostInstances === 0 && !hasForgottenLeave,
    );
    expect(groups.length > 2_000).toEqual(true);
    expect(groups.filter(group => !group.settle()).length).toEqual(0);
    expect(countLossy(groups)).toEqual(0);
  });

  it('ends each change once no instance is expected to return any more', () => {
    const groups = absences(10_000);
    const endless = groups.filter(group => {
      const hasEnded = group.settle();
      group.elapse();
      return !hasEnded && !group.settle();
    });
    expect(endless.length).toEqual(0);
    expect(countLossy(groups)).toEqual(0);
  });

  describe('if a bounded instance lapsed before the coordinator began', () => {
    /** Lets the only replica that confirmed lapse, and everyone else with its commits leave. */
    function play(recordFilter?: RecordFilter): GroupUnderFaults {
      const group = new GroupUnderFaults(undefined, recordFilter);
      group.add();
      group.toggleDeaf(2);
      group.toggleDeaf(3);
      group.write();
      group.lapse(1, true);
      group.boundDepartures();
      group.changeCoordinator();
      group.announceLeave(0);
      group.leave(0);
      group.changePrimary();
      return group;
    }

    it('waits for it, and promotes it when it has returned', () => {
      const group = play();
      expect(group.promotions).toEqual(0);
      group.comeBack(0);
      group.changePrimary();
      expect(group.promotions).toEqual(1);
      expect(group.lost).toEqual([]);
    });

    it('loses acknowledged commits if the record does not name it', () => {
      expect(play(hideAbsent).lost).toEqual(['1.1']);
    });
  });
});

describe('chooseTarget in a group whose coordinators do not see the results of their orders', () => {
  it('promotes no instance without an acknowledged commit that another one has or returns with', () => {
    const groups = playHistories(20_000, undefined, undefined, LATE_ORDERS);
    expect(countLossy(groups)).toEqual(0);
    expect(groups.some(({latePromotions}) => latePromotions > 1)).toEqual(true);
  });

  it('ends each change once every instance has returned or is known to be gone', () => {
    const groups = playHistories(
      10_000,
      undefined,
      undefined,
      LATE_ORDERS,
    ).filter(
      ({lostInstances, hasForgottenLeave}) =>
        lostInstances === 0 && !hasForgottenLeave,
    );
    expect(groups.length > 2_000).toEqual(true);
    expect(groups.filter(group => !group.settle()).length).toEqual(0);
    expect(countLossy(groups)).toEqual(0);
  });

  describe('if the ordered instance led and confirmed a commit with the old primary', () => {
    let group: GroupUnderFaults;

    beforeEach(() => {
      group = new GroupUnderFaults();
      group.add();
      group.changePrimary(false);
      group.toggleDeaf(2);
      group.toggleDeaf(3);
      group.promoteLate();
      group.write();
      group.announceLeave(1);
    });

    // Guards against reports from before an order that count as all that an instance has.
    it('waits for the old primary if the ordered instance left', () => {
      group.leave(1);
      group.lapse(0, true);
      group.changePrimary();
      expect(group.promotions).toEqual(1);
      group.comeBack(0);
      group.changePrimary();
      expect(group.promotions).toEqual(2);
      expect(group.lost).toEqual([]);
    });

    it('reports what may be missing if both left', () => {
      group.announceLeave(0);
      group.leave(1);
      group.leave(0);
      group.changePrimary();
      expect(group.unverified).toEqual(1);
      expect(group.lost).toEqual([]);
    });
  });
});
