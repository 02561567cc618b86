import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  findLossySeed,
  playChanges,
  playHistory,
  playUnlisted,
} from './change-histories.js';
import type {ChangeRules} from './change-rules.js';
import {DESIGN_RULES, SETTLING_RULES} from './change-rules.js';

/** Histories that are played with all rules. */
const HISTORIES = 6_000;

/** Histories that are played without a rule. */
const BROKEN_HISTORIES = 200;

/** Histories in which instances do not report again after another one restarted. */
const UNREPEATED_HISTORIES = 2_000;

/** Histories with instances that never register. */
const UNLISTED_HISTORIES = 1_000;

/** History in which a replica restarts twice without its log, within the time in which its entry appears. */
const RESTARTED_TWICE_SEED = 35_767;

/** Rules that are broken, and the first seed of histories among which one shows it. */
const BROKEN: ReadonlyArray<{
  readonly name: string;
  readonly without: ReadonlyArray<keyof ChangeRules>;
  readonly firstSeed: number;
}> = [
  {
    name: 'the target is chosen from reports of before the views ended',
    without: ['asksAfterViewsEnded'],
    firstSeed: 1_800,
  },
  {
    name: 'silence in the survey counts as consent',
    without: ['awaitsSilentInstances'],
    firstSeed: 17_300,
  },
  {
    name: 'the list of instances is the one of before the views ended',
    without: ['listsAfterViewsEnded', 'listsAfterReports'],
    firstSeed: 200,
  },
  {
    name: 'no registration is waited for',
    without: ['awaitsRegistrations', 'listsAfterReports'],
    firstSeed: 2_800,
  },
  {
    name: 'an instance that joined or restarted vouches for a primary',
    without: ['verifiesByOldConnections'],
    firstSeed: 6_300,
  },
  {
    name: 'a commit is acknowledged after the view has ended',
    without: ['acknowledgesInValidView'],
    firstSeed: 0,
  },
  {
    name: 'another instance is ordered while an own order may come',
    without: ['awaitsOwnOrders'],
    firstSeed: 14_250,
  },
  {
    name: 'a completed change forgets an order that may come',
    without: ['keepsOrdersInSteadyRecord'],
    firstSeed: 700,
  },
  {
    name: 'a change does not count the orders that its primary left',
    without: ['countsKeptOrders'],
    firstSeed: 700,
  },
  {
    name: 'instances are held before an order can come no more',
    without: ['holdsAfterOrders'],
    firstSeed: 102_000,
  },
  {
    name: 'the report of an instance that has started again counts for its earlier incarnation',
    without: ['listsAfterReports'],
    firstSeed: 2_300,
  },
  {
    name: 'a hold that a late release has ended counts as one that stands',
    without: ['checksHolds'],
    firstSeed: 9_800,
  },
  {
    name: 'the target is not asked again before it is ordered',
    without: ['confirmsTarget'],
    firstSeed: 0,
  },
  {
    name: 'a proxy adopts a leader although an instance is silent',
    without: ['adoptsIfAllAnswer'],
    firstSeed: 7_900,
  },
];

/** The same, where late entries are waited for instance by instance. */
const BROKEN_SETTLING: typeof BROKEN = [
  {
    name: 'a report counts for the listed start without a later list',
    without: ['settlesByLateLists'],
    firstSeed: 7_700,
  },
  {
    name: 'a report counts for the listed start although it is gone before a later list',
    without: ['attributesByLateLists'],
    firstSeed: 90_900,
  },
  {
    name: 'an empty log counts for the listed start although its hold is gone',
    without: ['confirmsEmptyLogs'],
    firstSeed: 35_700,
  },
  {
    name: 'a log that has left that of the term is compared by its last term',
    without: ['comparesInTerm'],
    firstSeed: 50_800,
  },
  {
    name: 'no registration is waited for after the views ended',
    without: ['awaitsRegistrations'],
    firstSeed: 100_900,
  },
];

describe('a change of primary whose steps are apart', () => {
  it('loses no acknowledged commit, and ends once everyone has returned', () => {
    const groups = playChanges(HISTORIES);
    expect(groups.filter(({lost}) => lost.length > 0).length).toEqual(0);
    const changes = groups.reduce((sum, group) => sum + group.changes, 0);
    const late = groups.reduce(
      (sum, {proxies}) => sum + proxies.acknowledgedLate,
      0,
    );
    expect(changes > HISTORIES).toEqual(true);
    expect(groups.flatMap(({overstated}) => overstated)).toEqual([]);
    expect(late > 0).toEqual(true);
    const returning = groups.filter(
      ({instances}) => instances.lostForGood === 0,
    );
    expect(returning.length > HISTORIES / 2).toEqual(true);
    expect(returning.filter(group => !group.settle()).length).toEqual(0);
    expect(groups.filter(({lost}) => lost.length > 0).length).toEqual(0);
  });

  it('loses fewer commits of instances that never register if proxies tell what they acknowledged', () => {
    const groups = playUnlisted(UNLISTED_HISTORIES);
    const rules = {...DESIGN_RULES, demandsAcknowledged: false};
    const withoutRule = playUnlisted(UNLISTED_HISTORIES, rules);
    const countLossy = (played: typeof groups): number =>
      played.filter(({lost}) => lost.length > 0).length;
    expect(countLossy(groups) < countLossy(withoutRule)).toEqual(true);
    expect(groups.flatMap(({overstated}) => overstated)).toEqual([]);
    const kept = groups.filter(({lost}) => lost.length === 0);
    expect(kept.filter(group => !group.settle()).length).toEqual(0);
  });

  // The report of an empty log does not count for the start before it.
  it('loses none although the others do not report again after a restart', () => {
    const rules = {...DESIGN_RULES, asksAgainAfterRestarts: false};
    const seed = findLossySeed(2_400, UNREPEATED_HISTORIES, rules);
    expect(seed).toEqual(undefined);
  });

  for (const {name, without, firstSeed} of BROKEN) {
    it(`loses acknowledged commits if ${name}`, () => {
      const broken = Object.fromEntries(without.map(rule => [rule, false]));
      const rules = {...DESIGN_RULES, ...broken};
      const seed = findLossySeed(firstSeed, BROKEN_HISTORIES, rules);
      expect(seed).not.toEqual(undefined);
    });
  }

  describe('and that waits for late entries of each instance alone', () => {
    it('loses no acknowledged commit, and ends once everyone has returned', () => {
      const groups = playChanges(HISTORIES, SETTLING_RULES);
      const changes = groups.reduce((sum, group) => sum + group.changes, 0);
      expect(changes > HISTORIES).toEqual(true);
      const returning = groups.filter(
        ({instances}) => instances.lostForGood === 0,
      );
      expect(returning.filter(group => !group.settle()).length).toEqual(0);
      expect(groups.filter(({lost}) => lost.length > 0).length).toEqual(0);
    });

    // Guards against a first report that is of the start between two restarts.
    it('loses none if an instance restarts twice before an entry appears', () => {
      const {lost} = playHistory(RESTARTED_TWICE_SEED, SETTLING_RULES);
      expect(lost).toEqual([]);
    });

    for (const {name, without, firstSeed} of BROKEN_SETTLING) {
      it(`loses acknowledged commits if ${name}`, () => {
        const broken = Object.fromEntries(without.map(rule => [rule, false]));
        const rules = {...SETTLING_RULES, ...broken};
        const seed = findLossySeed(firstSeed, BROKEN_HISTORIES, rules);
        expect(seed).not.toEqual(undefined);
      });
    }
  });
});
