import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  HybridTimestamp,
  MemberReport,
  TimedZoneReport,
  ZoneReport,
  ZoneDelegate,
} from '../../src/index.js';
import {
  appendPage,
  CONFIRMATION_TIMEOUT_MS,
  slicePage,
  isAppliedEverywhere,
  selectNewerReport,
  summarizeZone,
  computeUnconfirmedMs,
} from '../../src/index.js';

const NOW_MS = 100_000;
const MADE_AT: HybridTimestamp = {wallMs: 1, counter: 0};
const ROLE: ZoneDelegate = {zone: 'z', delegate: 'a', sinceMs: 0};
const SILENT_MS = CONFIRMATION_TIMEOUT_MS + 1;
const EXPECTED = ['a', 'b'].map(name => ({name, sinceMs: 0}));

describe('the applied revision of a zone', () => {
  const cases = [
    {
      name: 'is the lowest revision reported',
      reports: [report('a', 7, 0), report('b', 5, 0)],
      revision: 5,
      unconfirmedForMs: null,
    },
    {
      name: 'is unconfirmed since the last report of its longest silent proxy',
      reports: [report('a', 7, 0), report('b', 5, SILENT_MS)],
      revision: 5,
      unconfirmedForMs: SILENT_MS,
    },
    {
      name: 'is unconfirmed since the first time a proxy without reports was expected',
      reports: [report('a', 7, 0)],
      revision: 7,
      unconfirmedForMs: NOW_MS,
    },
    {
      name: 'is null without reports',
      reports: [],
      revision: null,
      unconfirmedForMs: NOW_MS,
    },
  ];
  for (const {name, reports, ...expected} of cases) {
    it(`${name}`, () => {
      expect(summarize(ROLE, reports)).toEqual({
        madeAt: MADE_AT,
        zone: 'z',
        delegate: 'a',
        members: 2,
        ...expected,
      });
    });
  }

  it('becomes unconfirmed when no report of the zone arrives', () => {
    const summary = summaryOf(ROLE, [report('a', 5, 0), report('b', 5, 0)]);
    const timedReport = {report: summary, atMs: NOW_MS};
    const laterMs = NOW_MS + SILENT_MS;
    expect(computeUnconfirmedMs(timedReport, NOW_MS)).toEqual(null);
    expect(computeUnconfirmedMs(timedReport, laterMs)).toEqual(SILENT_MS);
    expect(isAppliedEverywhere([timedReport], 5, NOW_MS)).toEqual(true);
    expect(isAppliedEverywhere([timedReport], 6, NOW_MS)).toEqual(false);
    expect(isAppliedEverywhere([timedReport], 5, laterMs)).toEqual(false);
  });
});

describe('the report of a new delegate', () => {
  const role = {...ROLE, sinceMs: NOW_MS - CONFIRMATION_TIMEOUT_MS};

  it('is not created while a proxy may still report', () => {
    expect(summarize(role, [report('a', 5, 0)])).toEqual(undefined);
  });

  it('is created once every proxy has reported', () => {
    const reports = [report('a', 5, 0), report('b', 4, 0)];
    expect(summaryOf(role, reports).revision).toEqual(4);
  });

  it('is created without a proxy that never reports, which is unconfirmed', () => {
    const longer = {...role, sinceMs: role.sinceMs - 1};
    const summary = summaryOf(longer, [report('a', 5, 0)]);
    expect(summary.unconfirmedForMs).toEqual(SILENT_MS);
  });

  it('does not wait for a proxy that was listed later', () => {
    const earlier = {...role, sinceMs: 0};
    const expected = EXPECTED.map(member => ({...member, sinceMs: NOW_MS - 1}));
    const reports = new Map([['a', report('a', 5, 0)]]);
    const created = summarizeZone(earlier, expected, reports, NOW_MS, MADE_AT);
    expect([created?.revision, created?.unconfirmedForMs]).toEqual([5, null]);
  });
});

describe('a zone report that proxies forward', () => {
  const members = new Map(['a', 'b'].map(name => [name, report(name, 5, 0)]));

  /** Returns a report created at a time, by delegate `a` unless another is given. */
  function createdAt(atMs: number, delegate = 'a'): TimedZoneReport {
    const stamp = {wallMs: atMs, counter: 0};
    const role = {...ROLE, delegate};
    const created = summarizeZone(role, EXPECTED, members, atMs, stamp);
    if (created === undefined) throw new Error('No report was made.');
    return {report: created, atMs};
  }

  /** Returns the report as received by another proxy after a transmission time. */
  function forward(
    {report: sent, atMs}: TimedZoneReport,
    sentAtMs: number,
    transmissionMs: number,
  ): TimedZoneReport {
    const ageMs = sentAtMs - atMs;
    return {report: sent, atMs: sentAtMs + transmissionMs - ageMs};
  }

  it('does not become younger however often it is forwarded', () => {
    const transmissionMs = 400;
    const first = createdAt(NOW_MS);
    let left = first;
    let right = forward(first, NOW_MS, transmissionMs);
    const rounds = CONFIRMATION_TIMEOUT_MS / 1_000 + 1;
    for (let round = 1; round <= rounds; round += 1) {
      const nowMs = NOW_MS + round * 1_000;
      left = selectNewerReport(
        left,
        forward(right, nowMs - transmissionMs, transmissionMs),
      );
      right = selectNewerReport(
        right,
        forward(left, nowMs - transmissionMs, transmissionMs),
      );
    }
    const endMs = NOW_MS + rounds * 1_000;
    expect(computeUnconfirmedMs(left, endMs)).toEqual(rounds * 1_000);
    expect(computeUnconfirmedMs(right, endMs)).toEqual(
      rounds * 1_000 - transmissionMs,
    );
  });

  it('is not replaced by an older report with a longer transmission time', () => {
    const older = createdAt(NOW_MS);
    const newer = createdAt(NOW_MS + 5);
    const late = forward(older, NOW_MS + 10, 400);
    expect(selectNewerReport(newer, late)).toEqual(newer);
    expect(selectNewerReport(late, newer)).toEqual(newer);
  });

  it('does not stay young when two reports are exchanged repeatedly', () => {
    const transmissionMs = 400;
    let left = createdAt(NOW_MS);
    let right = createdAt(NOW_MS + 5);
    const newer = right;
    const rounds = CONFIRMATION_TIMEOUT_MS / 1_000 + 1;
    for (let round = 1; round <= rounds; round += 1) {
      const sentAtMs = NOW_MS + round * 1_000 - transmissionMs;
      const toLeft = forward(right, sentAtMs, transmissionMs);
      const toRight = forward(left, sentAtMs, transmissionMs);
      left = selectNewerReport(left, toLeft);
      right = selectNewerReport(right, toRight);
    }
    const endMs = NOW_MS + rounds * 1_000;
    expect([left.report, right.report]).toEqual([newer.report, newer.report]);
    expect(computeUnconfirmedMs(left, endMs)).toEqual(
      rounds * 1_000 - 5 - transmissionMs,
    );
    expect(computeUnconfirmedMs(right, endMs)).toEqual(rounds * 1_000 - 5);
  });

  it('is replaced by a newer report and not by an older one', () => {
    const first = createdAt(NOW_MS);
    const second = createdAt(NOW_MS + 1);
    expect(selectNewerReport(first, second)).toEqual(second);
    expect(selectNewerReport(second, first)).toEqual(second);
  });

  it('is the same at all proxies if two delegates report at the same time', () => {
    const first = createdAt(NOW_MS, 'a');
    const second = createdAt(NOW_MS, 'b');
    expect(selectNewerReport(first, second)).toEqual(second);
    expect(selectNewerReport(second, first)).toEqual(second);
  });
});

describe('pages of a delta', () => {
  const delta = {
    from: 0,
    to: 3,
    isFull: true,
    changes: ['x', 'y', 'z'].map(key => ({key, entry: null})),
  };

  it('put a change that is too long on its own page', () => {
    const page = slicePage(delta, 1, 1);
    expect(page.changes.map(({key}) => key)).toEqual(['y']);
    expect(page.nextCursor).toEqual(2);
  });

  it('of two revisions are not combined', () => {
    const first = appendPage(undefined, slicePage(delta, 0, 1));
    const other = slicePage({...delta, to: 4}, 1, 1);
    expect(appendPage(first, other)).toEqual(undefined);
  });
});

/** Returns the report that a delegate creates now, if any. */
function summarize(
  role: ZoneDelegate,
  reports: readonly MemberReport[],
): ZoneReport | undefined {
  const byName = new Map(reports.map(entry => [entry.member, entry]));
  return summarizeZone(role, EXPECTED, byName, NOW_MS, MADE_AT);
}

/** Returns the report that a delegate creates now; throws if there is none. */
function summaryOf(
  role: ZoneDelegate,
  reports: readonly MemberReport[],
): ZoneReport {
  const created = summarize(role, reports);
  if (created === undefined) throw new Error('No report was made.');
  return created;
}

function report(
  member: string,
  revision: number,
  silentMs: number,
): MemberReport {
  return {member, revision, atMs: NOW_MS - silentMs};
}
