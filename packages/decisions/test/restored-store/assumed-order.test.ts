import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  PrimaryRecord,
  RecordRecoveryInputs,
  RecoveryCandidate,
  ReplicationReport,
} from '../../src/index.js';
import {decideRecordRecovery, PrimaryPhase} from '../../src/index.js';

const RESTORED: PrimaryRecord = {
  term: 2,
  primary: 'a',
  phase: PrimaryPhase.Steady,
  primaryBornAtMs: 100,
  confirmers: {
    instances: [
      {id: 'b', bornAtMs: 200},
      {id: 'c', bornAtMs: 300},
    ],
  },
};

/** Returns the listed replica, as it reports while the primary is silent. */
function replica(
  more: Partial<RecoveryCandidate> = {},
  reported: Partial<ReplicationReport> = {},
): RecoveryCandidate {
  const received = {term: 2, position: 40};
  const report = {id: 'b', isPrimary: false, term: 2, received, heldTerm: 0};
  return {
    id: 'b',
    bornAtMs: 200,
    isLeaving: false,
    report: {...report, ...reported},
    ...more,
  };
}

function changeFrom(
  candidate: RecoveryCandidate,
  more: Partial<RecordRecoveryInputs> = {},
): PrimaryRecord {
  const decision = decideRecordRecovery({
    restored: RESTORED,
    remembered: undefined,
    instances: [{id: 'a', isLeaving: false, report: undefined}, candidate],
    waitedMs: 0,
    orderPendingMs: 0,
    ...more,
  });
  if (decision.kind !== 'change') throw new Error(decision.kind);
  return decision.record;
}

describe('a change that begins after a restore without a leader', () => {
  it('names the incarnation that may disprove an order if a recorded replica is not held', () => {
    const record = changeFrom(replica());
    expect(record.orders).toEqual(1);
    expect(record.isOrderAssumed).toEqual(true);
    expect(record.primaryBornAtMs).toEqual(100);
  });

  describe('takes the order for given', () => {
    const given: ReadonlyArray<{
      readonly name: string;
      readonly candidate?: RecoveryCandidate;
      readonly more?: Partial<RecordRecoveryInputs>;
    }> = [
      {
        name: 'if no replica reports',
        candidate: replica({report: undefined}),
      },
      {
        name: 'if the replica is held',
        candidate: replica({}, {heldTerm: 3}),
      },
      {
        name: 'if the replica is held because it leaves',
        candidate: replica({isLeaving: true}, {heldTerm: 3}),
      },
      {
        name: 'if the replica leaves',
        candidate: replica({isLeaving: true}),
      },
      {
        name: 'if the replica has started since the record was written',
        candidate: replica({bornAtMs: 201}),
      },
      {
        name: 'if the start of the replica is not known',
        candidate: replica({bornAtMs: undefined}),
      },
      {
        name: 'if the replica may have lost a hold',
        candidate: replica({mayHaveLostHold: true}),
      },
      {
        name: 'if the replica is in an earlier term',
        candidate: replica({}, {term: 1}),
      },
      {
        name: 'if the replica is in a later term',
        candidate: replica({}, {term: 3}),
      },
      {
        name: 'if a change was recorded',
        more: {remembered: {...RESTORED, phase: PrimaryPhase.Changing}},
      },
      {
        name: 'if an earlier term ended in a change that was recorded',
        more: {
          restored: {...RESTORED, term: 1, phase: PrimaryPhase.Changing},
          remembered: RESTORED,
        },
      },
      {
        name: 'if no confirmers were recorded',
        more: {restored: {...RESTORED, confirmers: undefined}},
      },
    ];
    for (const {name, candidate = replica(), more} of given) {
      it(name, () => {
        const record = changeFrom(candidate, more);
        expect(record.orders! >= 1).toEqual(true);
        expect(record.isOrderAssumed).toEqual(undefined);
      });
    }
  });
});
