import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {RecordRecovery, RecordRecoveryInputs} from '../../src/index.js';
import {decideRecordRecovery} from '../../src/index.js';
import {GroupOverRestores, RULES} from './group-over-restores.js';
import type {Rules} from './model-coordinator.js';
import {HISTORY_WITH_LEAVES} from './restore-histories.js';

const SEED = 20_261_206;

const RUNS = 5_000;

const HISTORIES = fc.sample(HISTORY_WITH_LEAVES, {seed: SEED, numRuns: RUNS});

/** Plays one history; returns the group in its last state. */
function play(
  history: (typeof HISTORIES)[number],
  decide: Rules['decide'],
): GroupOverRestores {
  const group = new GroupOverRestores({...RULES, decide});
  for (const event of history) group.apply(event);
  return group;
}

/** Decides as if no leaving replica were held. */
function ignoreHoldsOfLeaving(inputs: RecordRecoveryInputs): RecordRecovery {
  const instances = inputs.instances.map(each =>
    each.isLeaving && each.report !== undefined
      ? {...each, report: {...each.report, heldTerm: 0}}
      : each,
  );
  return decideRecordRecovery({...inputs, instances});
}

/** Decides as if every instance had kept its hold. */
function ignoreRestarts(inputs: RecordRecoveryInputs): RecordRecovery {
  const instances = inputs.instances.map(each => ({
    ...each,
    mayHaveLostHold: false,
  }));
  return decideRecordRecovery({...inputs, instances});
}

/** Rules that leave out one thing. */
const BROKEN: ReadonlyArray<{
  readonly name: string;
  readonly decide: Rules['decide'];
}> = [
  {
    name: 'the holds of leaving replicas count for nothing',
    decide: ignoreHoldsOfLeaving,
  },
  {
    name: 'an instance that started again counts as never held',
    decide: ignoreRestarts,
  },
];

describe('a group with leaving replicas whose store is restored from backups', () => {
  describe('with the rules of the product', () => {
    const groups = HISTORIES.map(each => play(each, decideRecordRecovery));

    function sum(count: (group: GroupOverRestores) => number): number {
      return groups.reduce((total, group) => total + count(group), 0);
    }

    it('breaks no rule in any history', () => {
      expect(groups.flatMap(({violations}) => violations)).toEqual([]);
    });

    it('keeps primaries beside held replicas, and replaces others', () => {
      const confirmed = sum(({counts}) => counts.confirmedDespiteHold);
      const promoted = sum(({counts}) => counts.promotedAfterRestore);
      expect(confirmed > RUNS / 10).toEqual(true);
      expect(promoted > RUNS / 100).toEqual(true);
      expect(sum(({acknowledged}) => acknowledged) > RUNS).toEqual(true);
    });
  });

  for (const {name, decide} of BROKEN) {
    it(`breaks a rule if ${name}`, () => {
      const broken = HISTORIES.flatMap(each => play(each, decide).violations);
      expect(broken[0] ?? 'nothing').toEqual(
        expect.regex(/^(lost|old primary):/),
      );
    });
  }
});
