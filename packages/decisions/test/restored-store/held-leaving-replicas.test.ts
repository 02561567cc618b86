import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  RecordRecovery,
  RecoveryCandidate,
  ReplicationReport,
} from '../../src/index.js';
import {
  decideRecordRecovery,
  LATE_INSTANCE_WAIT_MS,
  MAXIMUM_RECOVERY_WAIT_MS,
  PrimaryPhase,
} from '../../src/index.js';

const ORDER_PENDING_MS = 10_000;

const TERM = 2;

function report(
  id: string,
  more: Partial<ReplicationReport> = {},
): ReplicationReport {
  const received = {term: TERM, position: 40};
  return {id, isPrimary: false, term: TERM, received, heldTerm: 0, ...more};
}

function candidate(
  report: ReplicationReport,
  more: Partial<RecoveryCandidate> = {},
): RecoveryCandidate {
  return {id: report.id, isLeaving: false, report, ...more};
}

const LEADER = candidate(report('a', {isPrimary: true}));

const FOLLOWER = candidate(report('b'));

const HELD = candidate(report('c', {heldTerm: TERM + 1}), {isLeaving: true});

function decide(
  instances: readonly RecoveryCandidate[],
  waitedMs = ORDER_PENDING_MS,
): RecordRecovery {
  return decideRecordRecovery({
    restored: {term: TERM, primary: 'a', phase: PrimaryPhase.Steady},
    remembered: undefined,
    instances,
    waitedMs,
    orderPendingMs: ORDER_PENDING_MS,
  });
}

describe('decideRecordRecovery with a leaving replica that is held', () => {
  describe('beside a leader that another replica follows', () => {
    it('waits while an order of before the restore may arrive', () => {
      for (const waitedMs of [
        0,
        MAXIMUM_RECOVERY_WAIT_MS,
        ORDER_PENDING_MS - 1,
      ]) {
        expect(decide([LEADER, FOLLOWER, HELD], waitedMs)).toEqual({
          kind: 'wait',
          reason: 'leaving replicas may be held for an order: c',
        });
      }
    });

    it('confirms the leader after that', () => {
      expect(decide([LEADER, FOLLOWER, HELD])).toEqual({
        kind: 'confirm',
        leader: LEADER.report!,
        initialPosition: LEADER.report!.received,
      });
    });

    it('confirms it although the replica was held in an earlier term', () => {
      const held = report('c', {term: TERM - 1, heldTerm: TERM + 1});
      const late = candidate(held, {isLeaving: true});
      expect(decide([LEADER, FOLLOWER, late]).kind).toEqual('confirm');
    });

    it('confirms it beside an instance that is only late', () => {
      const late = candidate(report('d', {term: TERM - 1}));
      const instances = [LEADER, FOLLOWER, HELD, late];
      expect(decide(instances, LATE_INSTANCE_WAIT_MS).kind).toEqual('wait');
      expect(decide(instances).kind).toEqual('confirm');
    });
  });

  describe('does not keep the leader', () => {
    it('if the replica is held for a later term', () => {
      const held = report('c', {heldTerm: TERM + 2});
      const later = candidate(held, {isLeaving: true});
      expect(decide([LEADER, FOLLOWER, later], 0).kind).toEqual('change');
    });

    it('if the replica is not leaving', () => {
      const staying = {...HELD, isLeaving: false};
      expect(decide([LEADER, FOLLOWER, staying], 0).kind).toEqual('change');
    });

    it('if it is held as well', () => {
      const held = report('a', {isPrimary: true, heldTerm: TERM + 1});
      const leader = candidate(held, {isLeaving: true});
      expect(decide([leader, FOLLOWER, HELD], 0).kind).toEqual('change');
    });

    it('if nobody else follows it', () => {
      expect(decide([LEADER, HELD], 0).kind).toEqual('change');
      expect(decide([LEADER, HELD]).kind).toEqual('change');
    });

    it('if every other follower may have lost a hold', () => {
      const restarted = {...FOLLOWER, mayHaveLostHold: true};
      expect(decide([LEADER, restarted, HELD]).kind).toEqual('change');
    });

    it('if another instance has not reported in time', () => {
      const silent = {id: 'd', isLeaving: false, report: undefined};
      expect(decide([LEADER, FOLLOWER, HELD, silent]).kind).toEqual('change');
    });

    it('if proxies do not use it', () => {
      const withheld = {...LEADER, isWithheld: true};
      expect(decide([withheld, FOLLOWER, HELD], 0).kind).toEqual('change');
    });
  });
});
