import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  PrimaryRecord,
  PromotionCandidate,
  RecordRecovery,
  RecordRecoveryInputs,
  ReplicationReport,
} from '../../src/index.js';
import {
  decideRecordRecovery,
  LATE_INSTANCE_WAIT_MS,
  MAXIMUM_RECOVERY_WAIT_MS,
  PrimaryPhase,
} from '../../src/index.js';

const START = {term: 1, position: 12};

function steady(
  term: number,
  primary: string,
  more: Partial<PrimaryRecord> = {},
): PrimaryRecord {
  return {term, primary, phase: PrimaryPhase.Steady, ...more};
}

function changing(
  term: number,
  primary: string,
  more: Partial<PrimaryRecord> = {},
): PrimaryRecord {
  return {term, primary, phase: PrimaryPhase.Changing, ...more};
}

function report(
  id: string,
  term: number,
  more: Partial<ReplicationReport> = {},
): ReplicationReport {
  const received = {term, position: 40};
  return {id, isPrimary: false, term, received, heldTerm: 0, ...more};
}

function listed(
  ...entries: ReadonlyArray<ReplicationReport | string>
): PromotionCandidate[] {
  return entries.map(each =>
    typeof each === 'string'
      ? {id: each, isLeaving: false, report: undefined}
      : {id: each.id, isLeaving: false, report: each},
  );
}

function decide(inputs: Partial<RecordRecoveryInputs>): RecordRecovery {
  return decideRecordRecovery({
    restored: undefined,
    remembered: undefined,
    instances: [],
    waitedMs: 0,
    orderPendingMs: 0,
    ...inputs,
  });
}

function changeOf(inputs: Partial<RecordRecoveryInputs>): PrimaryRecord {
  const decision = decide(inputs);
  if (decision.kind !== 'change') throw new Error(decision.kind);
  return decision.record;
}

const LEADER = report('a', 2, {isPrimary: true});
const FOLLOWERS = [report('b', 2), report('c', 2)];

describe('decideRecordRecovery', () => {
  describe('with a leader that all others follow', () => {
    const instances = listed(LEADER, ...FOLLOWERS);

    it('confirms it, and lets its term begin at what it has received', () => {
      const records = [
        steady(2, 'a', {initialPosition: START}),
        steady(1, 'b', {initialPosition: START}),
        changing(2, 'a'),
      ];
      for (const restored of records) {
        expect(decide({restored, instances})).toEqual({
          kind: 'confirm',
          leader: LEADER,
          initialPosition: LEADER.received,
        });
        expect(decide({remembered: restored, instances})).toEqual({
          kind: 'confirm',
          leader: LEADER,
          initialPosition: LEADER.received,
        });
      }
    });

    it('confirms it without any record, and with holds of its own term', () => {
      const held = listed(LEADER, report('b', 2, {heldTerm: 2}));
      expect(decide({instances: held}).kind).toEqual('confirm');
    });

    it('replaces it if a replica is held at a higher term', () => {
      const held = listed(
        LEADER,
        report('b', 2),
        report('c', 2, {heldTerm: 3}),
      );
      expect(changeOf({restored: steady(2, 'a'), instances: held})).toEqual(
        changing(2, 'a', {orders: 1, initialPosition: undefined}),
      );
    });

    it('replaces it if it is held at a higher term itself', () => {
      const leader = report('a', 2, {isPrimary: true, heldTerm: 3});
      expect(decide({instances: listed(leader, ...FOLLOWERS)}).kind).toEqual(
        'change',
      );
    });

    it('replaces it if a record knows a higher term', () => {
      const remembered = steady(3, 'b');
      expect(changeOf({remembered, instances})).toEqual(
        changing(3, 'b', {orders: 1, initialPosition: undefined}),
      );
    });

    it('replaces it if a record knows of an order whose term it does not lead', () => {
      const open = [
        changing(2, 'a', {orders: 1}),
        changing(1, 'b', {orders: 2}),
      ];
      for (const restored of open) {
        expect(decide({restored, instances}).kind).toEqual('change');
      }
    });

    it('confirms it if it leads the term of the last known order', () => {
      const restored = changing(1, 'b', {orders: 1, target: 'a'});
      expect(decide({restored, instances}).kind).toEqual('confirm');
    });

    it('replaces it if nobody else is listed', () => {
      expect(decide({instances: listed(LEADER)}).kind).toEqual('change');
    });

    it('replaces it if another one leads the same term', () => {
      const other = report('b', 2, {isPrimary: true});
      expect(
        decide({instances: listed(LEADER, other, report('c', 2))}).kind,
      ).toEqual('change');
    });
  });

  describe('while somebody is silent or late', () => {
    const restored = steady(2, 'a');
    const silent = listed(LEADER, report('b', 2), 'c');

    function decideAfterWait(
      late: ReplicationReport,
      restarted: readonly string[] = [],
      withheld: readonly string[] = [],
    ): RecordRecovery {
      const instances = listed(LEADER, report('b', 2), late).map(each => ({
        ...each,
        mayHaveLostHold: restarted.includes(each.id),
        isWithheld: withheld.includes(each.id),
      }));
      return decide({
        restored,
        instances,
        waitedMs: MAXIMUM_RECOVERY_WAIT_MS,
      });
    }

    it('waits as long as there is time', () => {
      expect(
        decide({
          restored,
          instances: silent,
          waitedMs: MAXIMUM_RECOVERY_WAIT_MS - 1,
        }),
      ).toEqual({
        kind: 'wait',
        reason: 'instances do not follow a in term 2: c',
      });
    });

    it('replaces the leader after that', () => {
      expect(
        decide({
          restored,
          instances: silent,
          waitedMs: MAXIMUM_RECOVERY_WAIT_MS,
        }).kind,
      ).toEqual('change');
    });

    it('waits for an instance that is still in an earlier term', () => {
      for (const late of [report('c', 1), report('c', 1, {isPrimary: true})]) {
        expect(
          decide({restored, instances: listed(LEADER, report('b', 2), late)})
            .kind,
        ).toEqual('wait');
      }
    });

    // Fails if a former primary that is cut off from the others is held, and chosen for its unconfirmed entries.
    it('keeps a followed leader if the late one is not held and had time to follow', () => {
      for (const late of [report('c', 1), report('c', 1, {isPrimary: true})]) {
        const instances = listed(LEADER, report('b', 2), late);
        const waitedMs = LATE_INSTANCE_WAIT_MS;
        expect(decide({restored, instances, waitedMs})).toEqual({
          kind: 'confirm',
          leader: LEADER,
          initialPosition: LEADER.received,
        });
        expect(decideAfterWait(late).kind).toEqual('confirm');
        const decision = decide({
          restored,
          instances,
          waitedMs: LATE_INSTANCE_WAIT_MS - 1,
        });
        expect(decision.kind).toEqual('wait');
      }
    });

    it('replaces the leader if the late one may be the target of an order', () => {
      const held = [2, 3].map(heldTerm => report('c', 1, {heldTerm}));
      for (const late of held) {
        expect(decideAfterWait(late).kind).toEqual('change');
      }
      expect(decideAfterWait(report('c', 1), ['c']).kind).toEqual('change');
    });

    it('replaces the leader if only the late one is known to have kept a hold', () => {
      for (const restarted of ['a', 'b']) {
        const decision = decideAfterWait(report('c', 1), [restarted]);
        expect(decision.kind).toEqual('change');
      }
    });

    it('replaces a leader that proxies no longer use although the late one is not held', () => {
      const decision = decideAfterWait(report('c', 1), [], ['a']);
      expect(decision.kind).toEqual('change');
    });

    it('replaces a leader at once that proxies no longer use', () => {
      const instances = silent.map(each => ({
        ...each,
        isWithheld: each.id === 'a',
      }));
      expect(decide({restored, instances}).kind).toEqual('change');
    });

    it('replaces a leader without a follower at once', () => {
      expect(
        decide({restored, instances: listed(LEADER, 'b', 'c')}).kind,
      ).toEqual('change');
    });

    it('replaces a leader at once if the only other report is of a held replica', () => {
      const held = report('b', 2, {heldTerm: 3});
      expect(
        decide({restored, instances: listed(LEADER, held, 'c')}).kind,
      ).toEqual('change');
    });
  });

  describe('with instances that started recently', () => {
    const all = [LEADER, ...FOLLOWERS];

    function decideWithRestarts(
      restarted: readonly string[],
      waitedMs = 0,
    ): RecordRecovery {
      const instances = listed(...all).map(each => ({
        ...each,
        mayHaveLostHold: restarted.includes(each.id),
      }));
      return decide({restored: steady(2, 'a'), instances, waitedMs});
    }

    it('confirms on the word of the leader and one follower that did not', () => {
      expect(decideWithRestarts(['c']).kind).toEqual('confirm');
    });

    it('waits, then replaces the leader, if all followers may have lost a hold', () => {
      expect(decideWithRestarts(['b', 'c'])).toEqual({
        kind: 'wait',
        reason: 'a or all that follow it may have started after they were held',
      });
      expect(
        decideWithRestarts(['b', 'c'], MAXIMUM_RECOVERY_WAIT_MS).kind,
      ).toEqual('change');
    });

    it('waits, then replaces the leader, if it may have stepped down before', () => {
      expect(decideWithRestarts(['a']).kind).toEqual('wait');
      expect(decideWithRestarts(['a'], MAXIMUM_RECOVERY_WAIT_MS).kind).toEqual(
        'change',
      );
    });
  });

  describe('without a leader', () => {
    it('replaces the primary of the newest record', () => {
      const remembered = steady(2, 'a', {initialPosition: START});
      expect(
        changeOf({
          restored: steady(1, 'b'),
          remembered,
          instances: listed('a', ...FOLLOWERS),
        }),
      ).toEqual(changing(2, 'a', {orders: 1, initialPosition: START}));
    });

    it('does so although nobody reports', () => {
      expect(
        changeOf({restored: steady(1, 'b'), instances: listed('a', 'b')})
          .primary,
      ).toEqual('b');
    });

    it('counts the term that only a replica reports', () => {
      expect(
        changeOf({
          restored: steady(1, 'b', {initialPosition: START}),
          instances: listed('a', 'b', report('c', 4)),
        }),
      ).toEqual(changing(4, 'b', {orders: 1, initialPosition: START}));
    });

    it('waits, then replaces the most advanced one, if there is no record', () => {
      const ahead = report('c', 1, {received: {term: 1, position: 50}});
      const instances = listed(report('b', 1), ahead);
      expect(decide({instances}).kind).toEqual('wait');
      expect(
        changeOf({instances, waitedMs: MAXIMUM_RECOVERY_WAIT_MS}).primary,
      ).toEqual('c');
    });
  });

  describe('the primary of a change', () => {
    it('is the leader of a term that no record knows', () => {
      expect(
        changeOf({restored: steady(1, 'b'), instances: listed(LEADER, 'b')})
          .primary,
      ).toEqual('a');
    });

    it('is the one of the record where both exist', () => {
      expect(
        changeOf({
          restored: steady(2, 'b'),
          instances: listed(LEADER, 'b'),
        }).primary,
      ).toEqual('b');
    });
  });

  describe('the orders of a change', () => {
    const instances = listed('a', 'b');

    it('exceed those of either record', () => {
      const remembered = changing(2, 'a', {orders: 2, target: 'b'});
      const restored = changing(2, 'a', {orders: 1});
      const record = changeOf({restored, remembered, instances});
      expect(record).toEqual(
        changing(2, 'a', {orders: 3, initialPosition: undefined}),
      );
    });

    it('pass over every term at which an instance is held', () => {
      const held = listed(report('a', 2, {heldTerm: 7}), 'b');
      const {term, orders = 0} = changeOf({
        restored: steady(2, 'b'),
        instances: held,
      });
      expect(term + 1 + orders).toEqual(8);
    });
  });

  describe('without evidence', () => {
    it('waits while nothing is listed, however long', () => {
      expect(decide({restored: steady(1, 'a'), waitedMs: 60_000})).toEqual({
        kind: 'wait',
        reason: 'no instance is listed',
      });
    });

    it('waits while there is neither a record nor a report', () => {
      expect(decide({instances: listed('a'), waitedMs: 60_000})).toEqual({
        kind: 'wait',
        reason: 'there is no record, and no instance has reported',
      });
    });
  });
});
