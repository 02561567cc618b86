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

  /** Handles a list that has all that started before the report. */
  function list(reports: HeldReports): void {
    reports.settle([instance], Infinity, () => true);
  }

  /** Records the first report of the next start, which has lost its log. */
  function recordNextStart(reports: HeldReports): void {
    reports.record(
      {...reports.find('i1')!, received: {term: 0, position: 0}},
      2,
    );
  }

  it('know what an incarnation had that is gone', () => {
    const reports = reported();
    list(reports);
    recordNextStart(reports);
    expect(reports.hasReported(instance)).toEqual(true);
    expect(reports.highestPosition).toEqual(received);
  });

  // Guards against the report of a later start with a part of the log, whose entry is late.
  it('may be of a later start until a list that is late enough', () => {
    const reports = reported();
    expect(reports.hasReported(instance)).toEqual(false);
    reports.settle([instance], Infinity, () => false);
    expect(reports.hasReported(instance)).toEqual(false);
    reports.settle([{...instance, bornAtMs: 2}], Infinity, () => true);
    expect(reports.hasReported(instance)).toEqual(false);
    recordNextStart(reports);
    list(reports);
    expect(reports.hasReported(instance)).toEqual(false);
    expect(reports.highestPosition).toEqual(received);
  });

  it('are of the former start if the next one is not held', () => {
    const reports = reported();
    reports.interrupt('i1', 2);
    expect(reports.hasReported(instance)).toEqual(true);
  });

  it('may lack what the instance confirmed after its hold had ended', () => {
    const reports = reported();
    list(reports);
    reports.interrupt('i1', 1);
    expect(reports.hasReported(instance)).toEqual(false);
    reports.interrupt('i1', 2);
    expect(reports.hasReported(instance)).toEqual(false);
  });

  it('may lack what the instance confirmed before it reported more', () => {
    const reports = reported();
    list(reports);
    const report = reports.find('i1')!;
    const more = {term: 1, position: 8};
    expect(reports.confirm({...report, received: more}, 1)).toEqual(false);
    expect(reports.hasReported(instance)).toEqual(false);
    list(reports);
    expect(reports.hasReported(instance)).toEqual(true);
  });

  it('keep the highest position, but not who had reported it, once they are cleared', () => {
    const reports = reported();
    list(reports);
    reports.clear();
    expect(reports.hasReported(instance)).toEqual(false);
    expect(reports.highestPosition).toEqual(received);
  });

  it('are found only if the instance was asked late enough', () => {
    const reports = new HeldReports();
    const report = {...reported().find('i1')!};
    reports.record(report, 1, 50);
    expect(reports.find('i1', 50)).toEqual(report);
    expect(reports.find('i1', 51)).toEqual(undefined);
  });

  // Guards against a hold that a restart has ended, with the log kept.
  it('do not confirm another incarnation, although it has the same position', () => {
    const reports = reported();
    const report = reports.find('i1')!;
    expect(reports.confirm(report, 1)).toEqual(true);
    expect(reports.confirm(report, 2)).toEqual(false);
  });

  // Guards against the report of an instance that has lost its log and is still listed by its former start.
  it('do not know what an incarnation had whose log is empty', () => {
    const reports = new HeldReports();
    const empty = {term: 0, position: 0};
    reports.record({...reported().find('i1')!, received: empty}, 1);
    list(reports);
    expect(reports.hasReported(instance)).toEqual(false);
  });

  describe('once nothing can be acknowledged any more', () => {
    const outOfUseAtMs = 100;
    const listed = [instance];

    function surveyed(): HeldReports {
      const reports = new HeldReports();
      const report = reported().find('i1')!;
      reports.record(report, 1, 40, 50);
      reports.confirm(report, 1, 110, 120);
      return reports;
    }

    it('are settled by a list that is late enough for the begin of the hold', () => {
      const reports = surveyed();
      reports.settle(listed, outOfUseAtMs, timeMs => timeMs < 50);
      expect(reports.isSettled('i1')).toEqual(false);
      reports.settle(listed, outOfUseAtMs, timeMs => timeMs <= 50);
      expect(reports.isSettled('i1')).toEqual(true);
    });

    it('are not settled by a list with another start', () => {
      const reports = surveyed();
      reports.settle([{id: 'i1', bornAtMs: 2}], outOfUseAtMs, () => true);
      expect(reports.isSettled('i1')).toEqual(false);
    });

    it('are not settled if they were requested before', () => {
      const reports = new HeldReports();
      reports.record(reported().find('i1')!, 1, 40, 50);
      reports.settle(listed, outOfUseAtMs, () => true);
      expect(reports.isSettled('i1')).toEqual(false);
    });

    // Guards against a restart with the log kept, under the former start.
    it('are not settled by a list that is late enough only for a hold that has ended', () => {
      const reports = surveyed();
      reports.interrupt('i1', 1);
      const report = reports.find('i1')!;
      expect(reports.confirm(report, 1, 130, 140)).toEqual(false);
      reports.settle(listed, outOfUseAtMs, timeMs => timeMs < 140);
      expect(reports.isSettled('i1')).toEqual(false);
    });

    it('stay settled when the instance starts again', () => {
      const reports = surveyed();
      reports.settle(listed, outOfUseAtMs, () => true);
      reports.record(reports.find('i1')!, 2, 200, 210);
      expect(reports.isSettled('i1')).toEqual(true);
    });

    it('know all of an incarnation whose hold ends later', () => {
      const reports = surveyed();
      reports.settle(listed, outOfUseAtMs, () => true);
      reports.interrupt('i1', 1);
      expect(reports.hasReported(instance)).toEqual(true);
    });

    describe('if the log is empty', () => {
      function surveyedEmpty(): HeldReports {
        const reports = new HeldReports();
        const received = {term: 0, position: 0};
        const report = {...reported().find('i1')!, received};
        reports.record(report, 1, 40, 50);
        reports.confirm(report, 1, 110, 120);
        reports.settle(listed, outOfUseAtMs, () => true);
        return reports;
      }

      it('stay settled while the instance is held', () => {
        const reports = surveyedEmpty();
        const report = reports.find('i1')!;
        expect(reports.confirm(report, 1, 130, 140)).toEqual(true);
        expect(reports.isSettled('i1')).toEqual(true);
      });

      // Guards against a start that was never listed, between the listed one and the next.
      it('have to be settled anew once the hold is gone', () => {
        const reports = surveyedEmpty();
        reports.interrupt('i1', 1);
        expect(reports.isSettled('i1')).toEqual(false);
        expect(reports.confirm(reports.find('i1')!, 1, 130, 140)).toEqual(
          false,
        );
        reports.settle(listed, outOfUseAtMs, timeMs => timeMs < 140);
        expect(reports.isSettled('i1')).toEqual(false);
      });

      it('do not count for the next start that is listed', () => {
        const reports = surveyedEmpty();
        reports.interrupt('i1', 2);
        expect(reports.isCounted('i1', 2)).toEqual(false);
        expect(reports.hasReported(instance)).toEqual(false);
      });

      it('do not count if the instance has received something', () => {
        const reports = surveyedEmpty();
        const report = {...reports.find('i1')!, received};
        expect(reports.confirm(report, 1, 130, 140)).toEqual(false);
        expect(reports.isSettled('i1')).toEqual(false);
      });
    });

    // Guards against the report of an earlier start that counts for one that may have confirmed more.
    it('count for the next start only once they are settled', () => {
      const reports = surveyed();
      expect(reports.isCounted('i1', 1)).toEqual(true);
      expect(reports.isCounted('i1', 2)).toEqual(false);
      reports.settle(listed, outOfUseAtMs, () => true);
      expect(reports.isCounted('i1', 2)).toEqual(true);
      reports.unsettle();
      expect(reports.isCounted('i1', 2)).toEqual(false);
    });

    it('have to be settled anew if commits may have been acknowledged since', () => {
      const reports = surveyed();
      reports.settle(listed, outOfUseAtMs, () => true);
      reports.unsettle();
      expect(reports.isSettled('i1')).toEqual(false);
    });
  });
});
