import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {RecordRecovery, RecordRecoveryInputs} from '../../src/index.js';
import {
  decideRecordRecovery,
  MAXIMUM_RECOVERY_WAIT_MS,
} from '../../src/index.js';
import {GroupOverRestores, RULES} from './group-over-restores.js';
import type {Rules} from './model-coordinator.js';
import {HISTORY} from './restore-histories.js';

const SEED = 20_261_204;

/** Number of histories. The product's rules survive all; each variant breaks in one of them. */
const RUNS = 5_000;

const HISTORIES = fc.sample(HISTORY, {seed: SEED, numRuns: RUNS});

/** Plays one history; returns the group in its last state. */
function play(
  history: (typeof HISTORIES)[number],
  rules: Rules,
): GroupOverRestores {
  const group = new GroupOverRestores(rules);
  for (const event of history) group.apply(event);
  return group;
}

/** Returns what the first history that breaks a rule has broken. */
function findViolations(rules: Rules): readonly string[] {
  for (const history of HISTORIES) {
    const {violations} = play(history, rules);
    if (violations.length > 0) return violations;
  }
  return [];
}

function confirmOnTheWordOfTheLeader(
  inputs: RecordRecoveryInputs,
): RecordRecovery {
  const [leader] = inputs.instances
    .map(({report}) => report)
    .filter(report => report?.isPrimary === true)
    .sort((left, right) => right!.term - left!.term);
  return leader === undefined
    ? decideRecordRecovery(inputs)
    : {kind: 'confirm', leader, initialPosition: leader.received};
}

/** Decides as if the time for silent and late instances were over at once. */
function decideWithoutWaiting(inputs: RecordRecoveryInputs): RecordRecovery {
  return decideRecordRecovery({...inputs, waitedMs: MAXIMUM_RECOVERY_WAIT_MS});
}

/** Returns whether a decision confirms a leader that a reporting instance does not follow. */
function confirmsDespiteLate(
  {instances}: RecordRecoveryInputs,
  decision: RecordRecovery,
): boolean {
  if (decision.kind !== 'confirm') return false;
  const {term} = decision.leader;
  return instances.some(
    ({report}) => report !== undefined && report.term < term,
  );
}

function ignoreSilent(inputs: RecordRecoveryInputs): RecordRecovery {
  const instances = inputs.instances.filter(({report}) => report !== undefined);
  return decideRecordRecovery({...inputs, instances});
}

function ignoreRestarts(inputs: RecordRecoveryInputs): RecordRecovery {
  const instances = inputs.instances.map(each => ({
    ...each,
    mayHaveLostHold: false,
  }));
  return decideRecordRecovery({...inputs, instances});
}

function ignoreLostOrders(inputs: RecordRecoveryInputs): RecordRecovery {
  const decision = decideRecordRecovery(inputs);
  if (decision.kind !== 'change') return decision;
  const orders = inputs.restored?.orders;
  return {kind: 'change', record: {...decision.record, orders}};
}

/** Rules that leave out one thing, and what has to break first. */
const BROKEN: ReadonlyArray<{
  readonly name: string;
  readonly rules: Partial<Rules>;
  readonly breaks: RegExp;
}> = [
  {
    name: 'a leader is confirmed on its own word',
    rules: {decide: confirmOnTheWordOfTheLeader},
    breaks: /^(lost|old primary):/,
  },
  {
    name: 'the restored record counts as current',
    rules: {isCurrent: () => true},
    breaks: /^(lost|old primary):/,
  },
  {
    name: 'tokens are revisions',
    rules: {tokenOf: (_generation, revision) => revision},
    breaks: /^token:/,
  },
  {
    name: "the coordinator's key is the same in each generation",
    rules: {coordinatorKeyOf: () => 'coordinator'},
    breaks: /^coordinators:/,
  },
  {
    name: 'orders of the lost seconds are ignored',
    rules: {decide: ignoreLostOrders},
    breaks: /^(lost|old primary):/,
  },
  {
    name: 'an instance that started again counts as never held',
    rules: {decide: ignoreRestarts},
    breaks: /^(lost|old primary):/,
  },
  {
    name: 'an instance that does not report counts as one that follows',
    rules: {decide: ignoreSilent},
    breaks: /^(lost|old primary):/,
  },
];

describe('a group whose store is restored from backups', () => {
  describe('with the rules of the product', () => {
    const groups = HISTORIES.map(history => play(history, RULES));

    function sum(count: (group: GroupOverRestores) => number): number {
      return groups.reduce((total, group) => total + count(group), 0);
    }

    it('breaks no rule in any history', () => {
      expect(groups.flatMap(({violations}) => violations)).toEqual([]);
    });

    it('reaches each outcome of the decision, and promotes after restores', () => {
      expect(sum(({counts}) => counts.confirmed) > RUNS / 10).toEqual(true);
      expect(sum(({counts}) => counts.waited) > RUNS / 10).toEqual(true);
      expect(
        sum(({counts}) => counts.promotedAfterRestore) > RUNS / 10,
      ).toEqual(true);
      expect(sum(({acknowledged}) => acknowledged) > RUNS).toEqual(true);
    });

    it('has a proof for most promotions', () => {
      const unverified = sum(({group}) => group.unverified);
      expect(unverified * 4 < sum(({group}) => group.promotions)).toEqual(true);
    });
  });

  it('breaks no rule if the time for late instances is over at once', () => {
    let despiteLate = 0;
    const decide = (inputs: RecordRecoveryInputs): RecordRecovery => {
      const decision = decideWithoutWaiting(inputs);
      if (confirmsDespiteLate(inputs, decision)) despiteLate += 1;
      return decision;
    };
    expect(findViolations({...RULES, decide})).toEqual([]);
    expect(despiteLate > 0).toEqual(true);
  });

  for (const {name, rules, breaks} of BROKEN) {
    it(`breaks a rule if ${name}`, () => {
      const violations = findViolations({...RULES, ...rules});
      expect(violations[0] ?? 'nothing').toEqual(expect.regex(breaks));
    });
  }
});
