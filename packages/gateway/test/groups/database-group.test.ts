import type {ClockReading, PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createSilentLogger} from '@sapphireglade/runtime';
import {DatabaseGroup, InstancePool, PrimaryProblem} from '../../src/index.js';
import {registeredInstance} from '../support/primary-change-context.js';
import {MemoryConnector} from '../support/memory-connector.js';

/** Position of the last commit acknowledged by the old primary. */
const LAST_OF_OLD_TERM = {term: 1, position: 202};

/** Maximum rounding difference between the two clocks, in milliseconds. */
const ROUNDING_MS = 5;

const STEADY: PrimaryRecord = {
  term: 1,
  primary: 'old',
  phase: PrimaryPhase.Steady,
};

const ANNOUNCED: PrimaryRecord = {
  term: 1,
  primary: 'old',
  phase: PrimaryPhase.Changing,
};

const TARGET_CHOSEN: PrimaryRecord = {
  term: 1,
  primary: 'old',
  phase: PrimaryPhase.Changing,
  orders: 1,
  target: 'new',
  lastPosition: LAST_OF_OLD_TERM,
};

const NEXT_STEADY: PrimaryRecord = {
  term: 2,
  primary: 'new',
  phase: PrimaryPhase.Steady,
};

/**
 * Adds an instance to a group and returns the pool that reports its positions.
 */
function addInstance(group: DatabaseGroup, id: string): InstancePool {
  const instance = registeredInstance(id, group.name);
  const connector = new MemoryConnector('proxy', new Map());
  const pool = new InstancePool(instance, connector, createSilentLogger());
  group.addMember(instance, pool);
  return pool;
}

/** Returns the reading of both clocks a number of milliseconds ago. */
function before(milliseconds: number): ClockReading {
  return {
    steadyMs: performance.now() - milliseconds,
    wallMs: Date.now() - milliseconds,
  };
}

describe('DatabaseGroup', () => {
  describe('a record of a change of primary that is received late', () => {
    it('gives no position for commits acknowledged after the store last confirmed the old primary', () => {
      const group = new DatabaseGroup('ledger');
      const confirmedAt = before(3_000);
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(confirmedAt);

      group.applyRecord({record: TARGET_CHOSEN, revision: 12});

      const {positions} = group;
      const {steadyMs} = confirmedAt;
      expect(positions.findPositionSince(steadyMs + 1)).toEqual(undefined);
      expect(
        positions.findPositionSince(steadyMs - ROUNDING_MS)?.position,
      ).toEqual(LAST_OF_OLD_TERM);
    });

    it('gives no position for the time after an earlier order to promote an instance', () => {
      const group = new DatabaseGroup('ledger');
      const confirmedAt = before(4_000);
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(confirmedAt);
      group.applyRecord({record: {...ANNOUNCED, orders: 1}, revision: 14});
      group.confirmRecord(before(100));

      group.applyRecord({record: {...TARGET_CHOSEN, orders: 2}, revision: 15});

      const {steadyMs} = confirmedAt;
      expect(group.positions.findPositionSince(steadyMs + 1)).toEqual(
        undefined,
      );
    });

    it('gives no position after another instance was discovered as primary', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(before(3_000));
      group.adoptPrimary(2, 'new', before(0));

      group.applyRecord({record: ANNOUNCED, revision: 11});
      group.applyRecord({record: TARGET_CHOSEN, revision: 12});

      expect(group.positions.newest).toEqual(undefined);
    });

    it('gives no position to a proxy that had released the primary, even if its lease is renewed', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(before(900));
      group.applyRecord({record: ANNOUNCED, revision: 11});
      const releasedAtMs = performance.now();
      group.onLeaseRenewed(before(0));
      group.applyRecord({record: TARGET_CHOSEN, revision: 12});

      expect(group.positions.findPositionSince(releasedAtMs)).toEqual(
        undefined,
      );
    });
  });

  describe('a record that is older than a discovered primary', () => {
    it('does not restore the replaced primary', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: STEADY, revision: 10});
      group.adoptPrimary(3, 'third', before(0));

      group.applyRecord({record: NEXT_STEADY, revision: 14});

      expect(group.record?.record.primary).toEqual('third');
      expect(group.storedRecord?.revision).toEqual(14);
    });

    it('does not allow an earlier primary to be discovered again', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: STEADY, revision: 10});
      group.adoptPrimary(3, 'third', before(0));
      group.applyRecord({record: {...ANNOUNCED, orders: 1}, revision: 13});

      group.adoptPrimary(2, 'new', before(0));

      expect(group.usablePrimary()).toEqual(PrimaryProblem.Changing);
    });

    it('still takes the primary out of use if a change is announced', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: STEADY, revision: 10});
      group.adoptPrimary(2, 'new', before(0));

      group.applyRecord({record: {...ANNOUNCED, orders: 1}, revision: 13});

      expect(group.usablePrimary()).toEqual(PrimaryProblem.Changing);
    });
  });

  describe('a recorded primary that reports a lower position than before', () => {
    it('does not count for commits acknowledged in between', () => {
      const group = new DatabaseGroup('ledger');
      const pool = addInstance(group, 'old');
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(before(0));
      const sentAtMs = performance.now();
      pool.positions$.next({sentAtMs, position: LAST_OF_OLD_TERM});
      const emptied = {
        sentAtMs: sentAtMs + 50,
        position: {term: 0, position: 0},
      };
      pool.positions$.next(emptied);

      const found = group.positions.findPositionSince(sentAtMs + 25);
      expect(found?.position).toEqual(undefined);
    });
  });

  describe('a record that only says more about the same steady primary', () => {
    const REWRITTEN: PrimaryRecord = {
      ...STEADY,
      confirmers: {instances: [{id: 'replica', bornAtMs: 1}]},
    };

    it('keeps the responses to earlier queries of the primary', () => {
      const group = new DatabaseGroup('ledger');
      const pool = addInstance(group, 'old');
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(before(0));
      const sentAtMs = performance.now();
      group.applyRecord({record: REWRITTEN, revision: 11});

      pool.positions$.next({sentAtMs, position: LAST_OF_OLD_TERM});

      const found = group.positions.findPositionSince(sentAtMs);
      expect(found?.position).toEqual(LAST_OF_OLD_TERM);
    });

    it('keeps the highest position that the primary has reported', () => {
      const group = new DatabaseGroup('ledger');
      const pool = addInstance(group, 'old');
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(before(0));
      const sentAtMs = performance.now();
      pool.positions$.next({sentAtMs, position: LAST_OF_OLD_TERM});
      group.applyRecord({record: REWRITTEN, revision: 11});
      pool.positions$.next({
        sentAtMs: sentAtMs + 50,
        position: {term: 0, position: 0},
      });

      const found = group.positions.findPositionSince(sentAtMs + 25);
      expect(found?.position).toEqual(undefined);
    });

    it('is the stored and the current record', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: STEADY, revision: 10});
      group.applyRecord({record: REWRITTEN, revision: 11});
      expect(group.storedRecord?.record).toEqual(REWRITTEN);
      expect(group.record?.revision).toEqual(11);
    });
  });

  describe('a discovered primary that the store does not record', () => {
    it('is not confirmed by responses and lease renewals of the store', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: {...ANNOUNCED, orders: 1}, revision: 13});
      const verifiedAt = before(700);
      group.adoptPrimary(2, 'new', verifiedAt);

      group.confirmRecord(before(100));
      group.onLeaseRenewed(before(0));
      const {viewFreshness} = group;
      const ageMs = viewFreshness.ageMs(before(0));
      expect(ageMs >= 700 - ROUNDING_MS).toEqual(true);

      group.extendView(before(50));
      expect(viewFreshness.ageMs(before(0)) < 700).toEqual(true);
    });
  });

  describe('a response of an instance that was queried as a replica', () => {
    it('does not count as a response of the primary that it has become', () => {
      const group = new DatabaseGroup('ledger');
      const pool = addInstance(group, 'new');
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(before(0));
      const queriedAtMs = performance.now();

      group.applyRecord({record: NEXT_STEADY, revision: 14});
      group.confirmRecord(before(0));
      pool.positions$.next({
        sentAtMs: queriedAtMs,
        position: {term: 1, position: 150},
      });
      expect(group.positions.newest).toEqual(undefined);

      const position = {term: 2, position: 203};
      pool.positions$.next({sentAtMs: performance.now(), position});
      expect(group.positions.newest?.position).toEqual(position);
    });

    it('does not count as a response of the primary that it was discovered to be', () => {
      const group = new DatabaseGroup('ledger');
      const pool = addInstance(group, 'new');
      group.applyRecord({record: STEADY, revision: 10});
      const queriedAtMs = performance.now();
      group.adoptPrimary(2, 'new', before(0));
      const position = {term: 1, position: 150};
      pool.positions$.next({sentAtMs: queriedAtMs, position});
      expect(group.positions.newest).toEqual(undefined);
    });
  });

  describe('a record of a change of primary that is received while the view is valid', () => {
    it('gives a position that includes every commit acknowledged until now', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: STEADY, revision: 10});
      group.confirmRecord(before(500));
      const receivedAtMs = performance.now();
      group.applyRecord({record: ANNOUNCED, revision: 11});
      group.applyRecord({record: TARGET_CHOSEN, revision: 12});

      const found = group.positions.findPositionSince(
        receivedAtMs - ROUNDING_MS,
      );
      expect(found?.position).toEqual(LAST_OF_OLD_TERM);
    });

    it('gives that position up to the last response of the store without a target', () => {
      const group = new DatabaseGroup('ledger');
      group.applyRecord({record: ANNOUNCED, revision: 11});
      const confirmedAt = before(200);
      group.confirmRecord(confirmedAt);
      group.applyRecord({record: TARGET_CHOSEN, revision: 12});
      group.confirmRecord(before(0));

      const {positions} = group;
      const {steadyMs} = confirmedAt;
      expect(
        positions.findPositionSince(steadyMs - ROUNDING_MS)?.position,
      ).toEqual(LAST_OF_OLD_TERM);
      expect(positions.findPositionSince(steadyMs + 50)).toEqual(undefined);
    });
  });
});
