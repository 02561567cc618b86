import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  LogPosition,
  PrimaryRecord,
  ReplicationReport,
  SentOrder,
  TargetInputs,
} from '../../src/index.js';
import {
  chooseOrderedTarget,
  OrderState,
  outstandingOrderOf,
  outstandingOrderState,
  PrimaryPhase,
} from '../../src/index.js';

const ORDER = {target: 'b', token: 7};

const RECORD: PrimaryRecord = {
  term: 3,
  primary: 'a',
  phase: PrimaryPhase.Changing,
  orders: 2,
  target: ORDER.target,
};

function report(fields: Partial<ReplicationReport>): ReplicationReport {
  return {
    id: ORDER.target,
    isPrimary: true,
    term: 5,
    received: {term: 3, position: 4},
    heldTerm: 0,
    ...fields,
  };
}

function stateOf(
  reported: ReplicationReport | undefined,
  {wasHeld = false, knownForMs = 0} = {},
): OrderState {
  return outstandingOrderState({
    order: ORDER,
    record: RECORD,
    report: reported,
    wasHeld,
    knownForMs,
    limitMs: 100,
  });
}

describe('an order without a result', () => {
  describe('outstandingOrderOf', () => {
    it('is the one for which the record was written', () => {
      expect(outstandingOrderOf(RECORD, 7)).toEqual(ORDER);
    });

    it('is carried by the next record that names no target', () => {
      const record = {
        ...RECORD,
        target: undefined,
        outstandingOrder: ORDER,
      };
      expect(outstandingOrderOf(record, 9)).toEqual(ORDER);
    });

    it('is replaced by the next order', () => {
      const record = {...RECORD, target: 'c', outstandingOrder: ORDER};
      expect(outstandingOrderOf(record, 9)).toEqual({target: 'c', token: 9});
    });

    it('is not left by the record of a primary in use', () => {
      const record = {...RECORD, phase: PrimaryPhase.Steady};
      expect(outstandingOrderOf(record, 7)).toEqual(undefined);
    });
  });

  describe('outstandingOrderState', () => {
    it('may still arrive until the limit, if its instance does not answer', () => {
      expect(stateOf(undefined, {knownForMs: 99})).toEqual(OrderState.Pending);
      expect(stateOf(undefined, {knownForMs: 100})).toEqual(OrderState.Expired);
    });

    it('may still arrive if its instance is a replica or another one leads', () => {
      expect(stateOf(report({isPrimary: false}))).toEqual(OrderState.Pending);
      expect(stateOf(report({id: 'c'}))).toEqual(OrderState.Pending);
    });

    it('has taken effect if its instance leads the term of the last order', () => {
      expect(stateOf(report({term: 5}))).toEqual(OrderState.Effective);
      expect(stateOf(report({term: 5}), {knownForMs: 100})).toEqual(
        OrderState.Effective,
      );
    });

    it('may still arrive if its instance leads by an order before', () => {
      expect(stateOf(report({term: 4}))).toEqual(OrderState.Pending);
    });

    it('has taken effect if its instance leads a new term after it was held', () => {
      expect(stateOf(report({term: 4}), {wasHeld: true})).toEqual(
        OrderState.Effective,
      );
    });

    it('may still arrive if the old primary returns as such after it was held', () => {
      expect(stateOf(report({term: 3}), {wasHeld: true})).toEqual(
        OrderState.Pending,
      );
    });
  });

  describe('outstandingOrderOf a steady record', () => {
    it('is none, unless the record carries one', () => {
      const steady = {...RECORD, phase: PrimaryPhase.Steady, target: undefined};
      expect(outstandingOrderOf(steady, 9)).toEqual(undefined);
      expect(
        outstandingOrderOf({...steady, outstandingOrder: ORDER}, 9),
      ).toEqual(ORDER);
    });
  });

  describe('chooseOrderedTarget', () => {
    const sent: SentOrder = {
      target: ORDER.target,
      incarnation: 1,
      position: {term: 3, position: 4},
    };

    /** Returns the inputs of a change in which instances have received positions. */
    function inputs(
      received: Record<string, LogPosition | undefined>,
    ): TargetInputs {
      return {
        replicas: Object.entries(received).map(([id, position]) => ({
          id,
          isLeaving: false,
          report:
            position && report({id, isPrimary: false, received: position}),
        })),
        oldPrimary: undefined,
        mayOldPrimaryReport: false,
        hasSynchronousReplication: true,
        wasPromotionOrdered: true,
        minimumPosition: undefined,
        unverifiedDepartures: [],
        mayReturn: [],
      };
    }

    const BEHIND = {term: 3, position: 3};
    const ORDERED = {term: 3, position: 4};
    const AHEAD = {term: 3, position: 5};

    it('is the ordered instance again, also behind an entry that nobody confirmed and with others silent', () => {
      const choice = chooseOrderedTarget(
        inputs({a: AHEAD, b: ORDERED, c: undefined}),
        sent,
        1,
      );
      expect(choice).toHaveSubset({kind: 'promote', target: 'b'});
    });

    for (const [name, received, incarnation] of [
      ['does not answer', {a: AHEAD, b: undefined}, 1],
      ['has less than when it was ordered', {a: AHEAD, b: BEHIND}, 1],
      ['is another incarnation', {a: AHEAD, b: ORDERED}, 2],
      ['is behind a later term', {a: {term: 5, position: 1}, b: ORDERED}, 1],
    ] as const) {
      it(`waits if the ordered instance ${name}`, () => {
        expect(
          chooseOrderedTarget(inputs(received), sent, incarnation),
        ).toHaveSubset({kind: 'wait'});
      });
    }

    it('is the ordered instance as another incarnation, if all reports choose it', () => {
      expect(
        chooseOrderedTarget(inputs({a: BEHIND, b: ORDERED}), sent, 2),
      ).toHaveSubset({kind: 'promote', target: 'b'});
    });
  });
});
