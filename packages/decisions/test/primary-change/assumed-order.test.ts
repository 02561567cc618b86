import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  AssumedOrderInputs,
  DirectorySighting,
  PrimaryRecord,
  ReplicationReport,
  TargetChoice,
  TargetInputs,
} from '../../src/index.js';
import {
  chooseTarget,
  hasLedThroughout,
  PrimaryPhase,
  SIGHTING_CONFIRMATION_MS,
} from '../../src/index.js';

const BORN_AT_MS = 100;

const ENTRY: DirectorySighting = {incarnation: BORN_AT_MS, sequence: 5};

const RECORD: PrimaryRecord = {
  term: 2,
  primary: 'a',
  phase: PrimaryPhase.Changing,
  orders: 1,
  isOrderAssumed: true,
  primaryBornAtMs: BORN_AT_MS,
};

function report(
  id: string,
  position: number,
  more: Partial<ReplicationReport> = {},
): ReplicationReport {
  const received = {term: 2, position};
  return {id, isPrimary: false, term: 2, received, heldTerm: 0, ...more};
}

describe('hasLedThroughout', () => {
  const LEADING = report('a', 9, {isPrimary: true});

  function decide({
    record = {},
    sighted = {},
    seen = ENTRY,
    entry = {...ENTRY, sequence: 6},
    observedForMs = SIGHTING_CONFIRMATION_MS,
    orders = 1,
  }: {
    readonly record?: Partial<PrimaryRecord>;
    readonly sighted?: Partial<ReplicationReport>;
    readonly seen?: DirectorySighting;
    readonly entry?: DirectorySighting | null;
    readonly observedForMs?: number;
    readonly orders?: number;
  } = {}): boolean {
    const inputs: AssumedOrderInputs = {
      record: {...RECORD, ...record},
      orders,
      sighting: {report: {...LEADING, ...sighted}, entry: seen},
      entry: entry ?? undefined,
      observedForMs,
    };
    return hasLedThroughout(inputs);
  }

  it('accepts the recorded incarnation that leads the recorded term', () => {
    expect(decide()).toEqual(true);
  });

  it('rejects a primary that has not been seen', () => {
    expect(
      hasLedThroughout({
        record: RECORD,
        orders: 1,
        sighting: undefined,
        entry: ENTRY,
        observedForMs: Infinity,
      }),
    ).toEqual(false);
  });

  it('rejects another incarnation, and one that is not known', () => {
    const other = {incarnation: BORN_AT_MS + 1, sequence: 5};
    expect(decide({seen: other, entry: {...other, sequence: 6}})).toEqual(
      false,
    );
    const record = {primaryBornAtMs: undefined};
    expect(decide({record})).toEqual(false);
    const unknown = {incarnation: undefined, sequence: 5};
    expect(
      decide({record, seen: unknown, entry: {...unknown, sequence: 6}}),
    ).toEqual(false);
  });

  it('rejects an entry that may be of an earlier incarnation than the one that reported', () => {
    expect(decide({entry: null})).toEqual(false);
    expect(decide({entry: ENTRY})).toEqual(false);
    expect(decide({entry: {incarnation: BORN_AT_MS + 1, sequence: 6}})).toEqual(
      false,
    );
    expect(decide({entry: {...ENTRY, sequence: undefined}})).toEqual(false);
    expect(decide({seen: {...ENTRY, sequence: undefined}})).toEqual(false);
    expect(decide({observedForMs: SIGHTING_CONFIRMATION_MS - 1})).toEqual(
      false,
    );
  });

  it('rejects an instance that does not lead the recorded term', () => {
    for (const sighted of [
      {isPrimary: false},
      {term: 1},
      {term: 3},
      {heldTerm: 3},
      {id: 'b'},
    ]) {
      expect(decide({sighted})).toEqual(false);
    }
  });

  it('rejects an order that is not only assumed', () => {
    for (const record of [
      {isOrderAssumed: undefined},
      {orders: 2},
      {target: 'b'},
      {outstandingOrder: {target: 'b', token: 7}},
      {phase: PrimaryPhase.Steady},
    ]) {
      expect(decide({record})).toEqual(false);
    }
    expect(decide({orders: 2})).toEqual(false);
  });
});

describe('chooseTarget beside an order that was only assumed', () => {
  function choose(
    reports: readonly ReplicationReport[],
    more: Partial<TargetInputs> = {},
  ): TargetChoice {
    return chooseTarget({
      replicas: reports.map(each => ({
        id: each.id,
        isLeaving: false,
        report: each,
      })),
      oldPrimary: undefined,
      mayOldPrimaryReport: true,
      hasSynchronousReplication: true,
      wasPromotionOrdered: true,
      uninterruptedPrimary: 'a',
      minimumPosition: {term: 2, position: 5},
      unverifiedDepartures: ['c'],
      mayReturn: [{id: 'c', bornAtMs: 1, isBounded: false}],
      ...more,
    });
  }

  const PRIMARY = report('a', 9, {heldTerm: 4});
  const REPLICA = report('b', 8, {heldTerm: 4});

  it('promotes by the log of the old primary although one instance is missing', () => {
    expect(choose([PRIMARY, REPLICA])).toEqual({
      kind: 'promote',
      target: 'a',
      position: PRIMARY.received,
    });
  });

  describe('waits for the missing instance', () => {
    const waiting: ReadonlyArray<{
      readonly name: string;
      readonly reports?: readonly ReplicationReport[];
      readonly more?: Partial<TargetInputs>;
    }> = [
      {
        name: 'if the old primary may have been replaced',
        more: {uninterruptedPrimary: undefined},
      },
      {
        name: 'if the old primary has not reported',
        more: {uninterruptedPrimary: 'd'},
      },
      {
        name: 'if another one is missing as well',
        more: {unverifiedDepartures: ['c', 'd']},
      },
      {
        name: 'if another one may return as well',
        more: {
          mayReturn: [
            {id: 'c', bornAtMs: 1, isBounded: false},
            {id: 'd', bornAtMs: 1, isBounded: true},
          ],
        },
      },
      {
        name: 'if another instance has a later term',
        reports: [PRIMARY, report('b', 8, {term: 3})],
      },
      {
        name: 'if another instance has more than the old primary',
        reports: [PRIMARY, report('b', 10)],
      },
      {
        name: 'if another instance leads',
        reports: [PRIMARY, report('b', 8, {isPrimary: true})],
      },
      {
        name: 'if the log of the old primary is empty',
        reports: [report('a', 0), report('b', 0)],
        more: {minimumPosition: undefined},
      },
      {
        name: 'if the old primary lacks commits of earlier terms',
        more: {minimumPosition: {term: 2, position: 10}},
      },
    ];
    for (const {name, reports = [PRIMARY, REPLICA], more} of waiting) {
      it(name, () => {
        expect(choose(reports, more).kind).toEqual('wait');
      });
    }

    it('if a listed replica has not reported', () => {
      const replicas = [
        {id: 'a', isLeaving: false, report: PRIMARY},
        {id: 'b', isLeaving: false, report: undefined},
      ];
      expect(choose([], {replicas}).kind).toEqual('wait');
    });
  });
});
