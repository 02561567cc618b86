import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {PrimaryRecord, ReplicationReport} from '../../src/index.js';
import {
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
});
