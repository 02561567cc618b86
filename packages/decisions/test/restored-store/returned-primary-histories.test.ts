import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {
  AssumedOrderInputs,
  RecordRecovery,
  RecordRecoveryInputs,
  TargetInputs,
} from '../../src/index.js';
import {
  chooseTarget,
  decideRecordRecovery,
  hasLedThroughout,
} from '../../src/index.js';
import type {
  ReturnedPrimaryEvent,
  ReturnedPrimaryHistory,
  ReturnedPrimaryOutcome,
  ReturnedPrimaryRules,
} from './returned-primary-model.js';
import {
  RETURNED_PRIMARY_RULES,
  ReturnedPrimaryModel,
} from './returned-primary-model.js';

const SEED = 20_261_207;

const RUNS = 30_000;

function events(
  kinds: readonly ReturnedPrimaryEvent['kind'][],
  maxLength: number,
): fc.Arbitrary<ReturnedPrimaryEvent[]> {
  return fc.array(
    fc.record({
      kind: fc.constantFrom(...kinds),
      instance: fc.nat({max: 11}),
      mask: fc.nat({max: 15}),
    }),
    {maxLength},
  );
}

const MASK = fc.oneof(
  {weight: 2, arbitrary: fc.constant(0)},
  {weight: 3, arbitrary: fc.constantFrom(1, 2, 4, 8)},
  {weight: 1, arbitrary: fc.nat({max: 15})},
);

const ANY_HISTORY: fc.Arbitrary<ReturnedPrimaryHistory> = fc.record({
  replicas: fc.integer({min: 2, max: 3}),
  isStartRecorded: fc.boolean(),
  before: events(['commit', 'commit', 'commit', 'fail'], 3),
  lost: events(
    ['commit', 'commit', 'commit', 'change', 'restart', 'lose', 'fail'],
    5,
  ),
  gone: MASK,
  silent: MASK,
  areStartsRecent: fc.boolean(),
  isDirectoryBehind: fc.boolean(),
  reachesStore: fc.oneof(
    {weight: 5, arbitrary: fc.constant(true)},
    {weight: 1, arbitrary: fc.constant(false)},
  ),
  between: events(['commit', 'late-order', 'restart', 'lose'], 2),
  unreachable: fc.oneof(
    {weight: 5, arbitrary: fc.constant(0)},
    {weight: 1, arbitrary: MASK},
  ),
});

/** Histories in which one replica confirms a last commit and goes, and the primary may start again. */
const LAST_CONFIRMER_GOES: fc.Arbitrary<ReturnedPrimaryHistory> = fc
  .record({
    history: ANY_HISTORY,
    gone: fc.constantFrom(2, 4),
    start: events(['restart', 'lose'], 1),
  })
  .map(({history, gone, start}) => ({
    ...history,
    before: [...history.before, {kind: 'commit', instance: 0, mask: 14}],
    lost: [
      ...history.lost.slice(0, 2),
      {kind: 'commit', instance: 0, mask: gone},
      ...start.map(each => ({...each, instance: 0})),
    ],
    gone,
    silent: 1,
    unreachable: 0,
  }));

/** Histories in which a lost order takes effect, and the new primary and perhaps its replica go. */
const NEW_PRIMARY_GOES: fc.Arbitrary<ReturnedPrimaryHistory> = fc
  .record({
    history: ANY_HISTORY,
    unreachable: fc.constantFrom(0, 1),
    confirming: fc.constantFrom(1, 4, 8),
    gone: fc.constantFrom(2, 6, 10),
  })
  .map(({history, unreachable, confirming, gone}) => ({
    ...history,
    replicas: 3,
    isStartRecorded: true,
    before: [{kind: 'commit', instance: 0, mask: 14}],
    lost: [
      {kind: 'change', instance: 1, mask: unreachable},
      {kind: 'commit', instance: 0, mask: confirming},
      ...history.lost.slice(0, 1),
    ],
    gone,
    unreachable: 0,
  }));

const HISTORIES = fc.sample(
  fc.oneof(ANY_HISTORY, LAST_CONFIRMER_GOES, NEW_PRIMARY_GOES),
  {
    seed: SEED,
    numRuns: RUNS,
  },
);

function playAll(
  rules: Partial<ReturnedPrimaryRules> = {},
): ReturnedPrimaryOutcome[] {
  const all = {...RETURNED_PRIMARY_RULES, ...rules};
  return HISTORIES.map(each => new ReturnedPrimaryModel(each, all).play());
}

/** Takes every incarnation of the primary for the recorded one. */
function ignoreStarts(inputs: AssumedOrderInputs): boolean {
  const {record, sighting} = inputs;
  const incarnation = sighting?.entry.incarnation;
  const primaryBornAtMs = record.primaryBornAtMs && incarnation;
  return hasLedThroughout({...inputs, record: {...record, primaryBornAtMs}});
}

/** Takes the directory for current when the primary reports. */
function trustDirectory(inputs: AssumedOrderInputs): boolean {
  const {sighting} = inputs;
  if (sighting === undefined) return false;
  const entry = {...sighting.entry, sequence: Infinity};
  return hasLedThroughout({...inputs, entry});
}

/** Takes the entry of now for one that the primary has written since it reported. */
function ignoreSequence(inputs: AssumedOrderInputs): boolean {
  const {entry} = inputs;
  const written = entry && {...entry, sequence: Infinity};
  return hasLedThroughout({...inputs, entry: written});
}

/** Takes a record without an incarnation for one that names the present one. */
function trustRecordsWithoutStart(inputs: AssumedOrderInputs): boolean {
  const {record, sighting} = inputs;
  const primaryBornAtMs = record.primaryBornAtMs ?? sighting?.entry.incarnation;
  return hasLedThroughout({...inputs, record: {...record, primaryBornAtMs}});
}

/** Takes a primary that stepped down for one that leads. */
function ignoreRole(inputs: AssumedOrderInputs): boolean {
  const {record, sighting} = inputs;
  if (sighting === undefined) return false;
  const {term} = record;
  const report = {...sighting.report, isPrimary: true, term, heldTerm: 0};
  return hasLedThroughout({...inputs, sighting: {...sighting, report}});
}

/** Takes every order for one that may not exist, whatever the replicas say. */
function assumeAlways(inputs: RecordRecoveryInputs): RecordRecovery {
  const decision = decideRecordRecovery(inputs);
  if (decision.kind !== 'change') return decision;
  const primaryBornAtMs = inputs.restored?.primaryBornAtMs;
  const {record} = decision;
  return {
    kind: 'change',
    record: {...record, orders: 1, isOrderAssumed: true, primaryBornAtMs},
  };
}

/** Takes any number of missing instances for one. */
function ignoreNumberMissing(
  inputs: TargetInputs,
): ReturnType<typeof chooseTarget> {
  const unverifiedDepartures = inputs.unverifiedDepartures.slice(0, 1);
  const mayReturn = inputs.mayReturn.filter(({id}) =>
    unverifiedDepartures.includes(id),
  );
  return inputs.uninterruptedPrimary === undefined
    ? chooseTarget(inputs)
    : chooseTarget({...inputs, unverifiedDepartures, mayReturn});
}

const BROKEN: ReadonlyArray<{
  readonly name: string;
  readonly rules: Partial<ReturnedPrimaryRules>;
}> = [
  {
    name: 'a primary that started again counts as the recorded one',
    rules: {hasLed: ignoreStarts},
  },
  {
    name: 'the directory counts as current when the primary reports',
    rules: {hasLed: trustDirectory},
  },
  {
    name: 'an entry counts that the primary has not written again',
    rules: {hasLed: ignoreSequence},
  },
  {
    name: 'a record without the start of the primary counts as one with it',
    rules: {hasLed: trustRecordsWithoutStart},
  },
  {
    name: 'more than one instance may be missing',
    rules: {choose: ignoreNumberMissing},
  },
];

describe('a recorded primary that returns after a restore', () => {
  describe('with the rules of the product', () => {
    const outcomes = playAll();

    it('loses no acknowledged commit in any history', () => {
      expect(outcomes.flatMap(({lost}) => lost)).toEqual([]);
    });

    it('proves the choice by its log in many histories', () => {
      const proved = outcomes.filter(each => each.isUninterrupted);
      expect(proved.length > RUNS / 100).toEqual(true);
    });

    it('proves nothing once it has started again', () => {
      const proved = outcomes.filter(each => each.isUninterrupted);
      expect(proved.filter(each => each.hasPrimaryStarted)).toEqual([]);
    });
  });

  for (const {name, rules} of BROKEN) {
    it(`loses acknowledged commits if ${name}`, () => {
      const lost = playAll(rules).flatMap(each => each.lost);
      expect(lost.length > 0).toEqual(true);
    });
  }

  // Every commit is on two instances, and the start shows that the log is kept.
  it('loses none even if an order was given, as all but one report', () => {
    const rules = {decide: assumeAlways, hasLed: ignoreRole};
    expect(playAll(rules).flatMap(each => each.lost)).toEqual([]);
  });
});
