import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {TargetInputs} from '../../src/index.js';
import {
  ABSENCES,
  countLossy,
  ELAPSED,
  LATE_ORDERS,
  playHistories,
  unverifiedShare,
} from './fault-histories.js';
import type {InputFilter, RecordFilter} from './group-under-faults.js';
import {GroupUnderFaults} from './group-under-faults.js';

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

/** Share of promotions that may lack a verdict if absent instances do not return. */
const MAXIMUM_SHARE = 1 / 25;

/** Filters that hide a proof that a target has every acknowledged commit. */
const HIDDEN_PROOFS: ReadonlyArray<{
  readonly name: string;
  readonly filter: InputFilter;
}> = [
  {
    name: 'that every confirmer has reported',
    filter: inputs => ({
      ...inputs,
      unverifiedDepartures: [...inputs.unverifiedDepartures, 'hidden'],
    }),
  },
  {
    name: 'that the old primary has its log',
    filter: inputs => ({
      ...inputs,
      oldPrimary: undefined,
      mayOldPrimaryReport: false,
    }),
  },
  {
    name: 'that a target has reached the start of the term',
    filter: inputs => ({
      ...inputs,
      minimumPosition: {term: Number.MAX_SAFE_INTEGER, position: 0},
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
    expect(unverifiedShare(groups) < 1 / 4).toEqual(true);
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

describe('chooseTarget in a group whose absent instances do not return any more', () => {
  const elapsed = (runs: number, filter?: InputFilter): GroupUnderFaults[] =>
    playHistories(runs, filter, undefined, ELAPSED);

  it('promotes no instance without an acknowledged commit that another one has', () => {
    const groups = elapsed(20_000);
    expect(countLossy(groups)).toEqual(0);
    expect(groups.some(({unverified}) => unverified > 0)).toEqual(true);
  });

  it('gives a verdict on nearly all promotions', () => {
    expect(unverifiedShare(elapsed(5_000)) < MAXIMUM_SHARE).toEqual(true);
  });

  for (const {name, filter} of HIDDEN_PROOFS) {
    it(`leaves more promotions without a verdict if it cannot prove ${name}`, () => {
      const groups = elapsed(5_000, filter);
      expect(unverifiedShare(groups) < MAXIMUM_SHARE).toEqual(false);
    });
  }
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
