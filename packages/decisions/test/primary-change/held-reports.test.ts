import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HeldReports} from '../../src/index.js';

describe('HeldReports', () => {
  const instance = {id: 'i1', bornAtMs: 1};
  const received = {term: 1, position: 7};

  function reported(): HeldReports {
    const reports = new HeldReports();
    const report = {
      id: instance.id,
      isPrimary: false,
      term: 1,
      heldTerm: 2,
      received,
    };
    reports.record(report, instance.bornAtMs);
    return reports;
  }

  it('know what an incarnation had that is gone', () => {
    const reports = reported();
    reports.record(
      {...reports.find('i1')!, received: {term: 0, position: 0}},
      2,
    );
    expect(reports.hasReported(instance)).toEqual(true);
    expect(reports.highestPosition).toEqual(received);
  });

  it('keep the highest position, but not who had reported it, once they are cleared', () => {
    const reports = reported();
    reports.clear();
    expect(reports.hasReported(instance)).toEqual(false);
    expect(reports.highestPosition).toEqual(received);
  });
});
