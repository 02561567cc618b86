import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ReplicationReport} from '../../src/index.js';
import {chooseTarget, HeldReports, reportInTerm} from '../../src/index.js';

describe('reportInTerm', () => {
  const record = {term: 5, initialPosition: {term: 2, position: 7}};

  function reportAt(
    term: number,
    received: ReplicationReport['received'],
  ): ReplicationReport {
    return {id: 'i1', isPrimary: false, term, heldTerm: 6, received};
  }

  for (const [term, received] of [
    [4, {term: 1, position: 9}],
    [4, {term: 2, position: 6}],
    [4, {term: 2, position: 8}],
    [5, {term: 3, position: 1}],
    [5, {term: 5, position: 8}],
    [6, {term: 6, position: 1}],
  ] as const) {
    const {term: last, position} = received;
    it(`keeps a log up to ${last}.${position} in term ${term}`, () => {
      const report = reportAt(term, received);
      expect(reportInTerm(report, record)).toEqual(report);
    });
  }

  for (const received of [
    {term: 3, position: 1},
    {term: 4, position: 20},
  ]) {
    it(`marks a log up to ${received.term}.${received.position}`, () => {
      const report = reportAt(received.term, received);
      const marked = reportInTerm(report, record);
      expect(marked).toEqual({...report, hasLeftTerm: true});
    });
  }

  it('marks none if the start of the term is not known', () => {
    const report = reportAt(4, {term: 4, position: 20});
    expect(reportInTerm(report, {term: 5})).toEqual(report);
  });

  describe('of a log that has left the term', () => {
    const parted = reportInTerm(reportAt(4, {term: 4, position: 20}), record);
    const complete = {...reportAt(5, record.initialPosition), id: 'i2'};

    it('does not raise the position that a target has to reach', () => {
      const reports = new HeldReports();
      reports.record(parted, 1);
      expect(reports.highestPosition).toEqual(undefined);
    });

    it('ranks below a log of the term, and proves nothing alone', () => {
      const inputs = {
        oldPrimary: undefined,
        mayOldPrimaryReport: false,
        hasSynchronousReplication: true,
        wasPromotionOrdered: false,
        minimumPosition: record.initialPosition,
        unverifiedDepartures: [],
        mayReturn: [],
      };
      const candidates = [parted, complete].map(report => ({
        id: report.id,
        isLeaving: false,
        report,
      }));
      expect(chooseTarget({...inputs, replicas: candidates})).toEqual({
        kind: 'promote',
        target: complete.id,
        position: complete.received,
      });
      const alone = candidates.slice(0, 1);
      expect(chooseTarget({...inputs, replicas: alone})).toEqual({
        kind: 'promote',
        target: parted.id,
        position: parted.received,
        unverified:
          'the instances that reported lack a commit that may be acknowledged',
      });
      expect(
        chooseTarget({...inputs, replicas: alone, mayOldPrimaryReport: true})
          .kind,
      ).toEqual('wait');
    });
  });
});
