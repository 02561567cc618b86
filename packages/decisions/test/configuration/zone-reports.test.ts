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

describe('what is in force in a zone', () => {
  const cases = [
    {
      name: 'is the lowest revision reported',
      reports: [report('a', 7, 0), report('b', 5, 0)],
      revision: 5,
      unconfirmedForMs: null,
    },
    {
      name: 'is unconfirmed since its most silent proxy was heard',
      reports: [report('a', 7, 0), report('b', 5, SILENT_MS)],
      revision: 5,
      unconfirmedForMs: SILENT_MS,
    },
    {
      name: 'is unconfirmed since a proxy is expected that never reported',
      reports: [report('a', 7, 0)],
      revision: 7,
      unconfirmedForMs: NOW_MS,
    },
    {
      name: 'is not known without reports',
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

  it('turns unconfirmed when the zone itself is silent', () => {
    const summary = summaryOf(ROLE, [report('a', 5, 0), report('b', 5, 0)]);
    const knowledge = {report: summary, atMs: NOW_MS};
    const laterMs = NOW_MS + SILENT_MS;
    expect(computeUnconfirmedMs(knowledge, NOW_MS)).toEqual(null);
    expect(computeUnconfirmedMs(knowledge, laterMs)).toEqual(SILENT_MS);
    expect(isAppliedEverywhere([knowledge], 5, NOW_MS)).toEqual(true);
    expect(isAppliedEverywhere([knowledge], 6, NOW_MS)).toEqual(false);
    expect(isAppliedEverywhere([knowledge], 5, laterMs)).toEqual(false);
  });
});

describe('the report of a new delegate', () => {
  const role = {...ROLE, sinceMs: NOW_MS - CONFIRMATION_TIMEOUT_MS};

  it('is not made while a proxy may yet report', () => {
    expect(summarize(role, [report('a', 5, 0)])).toEqual(undefined);
  });

  it('is made once every proxy has reported', () => {
    const reports = [report('a', 5, 0), report('b', 4, 0)];
    expect(summaryOf(role, reports).revision).toEqual(4);
  });

  it('is made without a proxy that stays silent, which is unconfirmed', () => {
    const longer = {...role, sinceMs: role.sinceMs - 1};
    const summary = summaryOf(longer, [report('a', 5, 0)]);
    expect(summary.unconfirmedForMs).toEqual(SILENT_MS);
  });

  it('does not wait for a proxy that is listed later', () => {
    const earlier = {...role, sinceMs: 0};
    const expected = EXPECTED.map(member => ({...member, sinceMs: NOW_MS - 1}));
    const reports = new Map([['a', report('a', 5, 0)]]);
    const made = summarizeZone(earlier, expected, reports, NOW_MS, MADE_AT);
    expect([made?.revision, made?.unconfirmedForMs]).toEqual([5, null]);
  });
});

describe('knowledge of a zone that proxies pass on', () => {
  const members = new Map(['a', 'b'].map(name => [name, report(name, 5, 0)]));

  /** A report that was made at a time, by one process unless others are named. */
  function madeAt(atMs: number, delegate = 'a'): TimedZoneReport {
    const stamp = {wallMs: atMs, counter: 0};
    const role = {...ROLE, delegate};
    const made = summarizeZone(role, EXPECTED, members, atMs, stamp);
    if (made === undefined) throw new Error('No report was made.');
    return {report: made, atMs};
  }

  /** What arrives after its way of what a proxy knows when it sends it. */
  function passOn(
    {report: told, atMs}: TimedZoneReport,
    sentAtMs: number,
    wayMs: number,
  ): TimedZoneReport {
    const ageMs = sentAtMs - atMs;
    return {report: told, atMs: sentAtMs + wayMs - ageMs};
  }

  it('does not grow younger on its way, however often it is passed on', () => {
    const wayMs = 400;
    const first = madeAt(NOW_MS);
    let left = first;
    let right = passOn(first, NOW_MS, wayMs);
    const rounds = CONFIRMATION_TIMEOUT_MS / 1_000 + 1;
    for (let round = 1; round <= rounds; round += 1) {
      const nowMs = NOW_MS + round * 1_000;
      left = selectNewerReport(left, passOn(right, nowMs - wayMs, wayMs));
      right = selectNewerReport(right, passOn(left, nowMs - wayMs, wayMs));
    }
    const endMs = NOW_MS + rounds * 1_000;
    expect(computeUnconfirmedMs(left, endMs)).toEqual(rounds * 1_000);
    expect(computeUnconfirmedMs(right, endMs)).toEqual(rounds * 1_000 - wayMs);
  });

  it('is not replaced by an older report that was longer on its way', () => {
    const older = madeAt(NOW_MS);
    const newer = madeAt(NOW_MS + 5);
    const late = passOn(older, NOW_MS + 10, 400);
    expect(selectNewerReport(newer, late)).toEqual(newer);
    expect(selectNewerReport(late, newer)).toEqual(newer);
  });

  it('does not stay young by two reports that cross again and again', () => {
    const wayMs = 400;
    let left = madeAt(NOW_MS);
    let right = madeAt(NOW_MS + 5);
    const newer = right;
    const rounds = CONFIRMATION_TIMEOUT_MS / 1_000 + 1;
    for (let round = 1; round <= rounds; round += 1) {
      const sentAtMs = NOW_MS + round * 1_000 - wayMs;
      const toLeft = passOn(right, sentAtMs, wayMs);
      const toRight = passOn(left, sentAtMs, wayMs);
      left = selectNewerReport(left, toLeft);
      right = selectNewerReport(right, toRight);
    }
    const endMs = NOW_MS + rounds * 1_000;
    expect([left.report, right.report]).toEqual([newer.report, newer.report]);
    expect(computeUnconfirmedMs(left, endMs)).toEqual(
      rounds * 1_000 - 5 - wayMs,
    );
    expect(computeUnconfirmedMs(right, endMs)).toEqual(rounds * 1_000 - 5);
  });

  it('gives way to another report that is newer, and to no older one', () => {
    const first = madeAt(NOW_MS);
    const second = madeAt(NOW_MS + 1);
    expect(selectNewerReport(first, second)).toEqual(second);
    expect(selectNewerReport(second, first)).toEqual(second);
  });

  it('is the same at all proxies where two delegates report at one time', () => {
    const first = madeAt(NOW_MS, 'a');
    const second = madeAt(NOW_MS, 'b');
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

  it('give a change that is too long a page of its own', () => {
    const page = slicePage(delta, 1, 1);
    expect(page.changes.map(({key}) => key)).toEqual(['y']);
    expect(page.nextCursor).toEqual(2);
  });

  it('of two revisions are not joined', () => {
    const first = appendPage(undefined, slicePage(delta, 0, 1));
    const other = slicePage({...delta, to: 4}, 1, 1);
    expect(appendPage(first, other)).toEqual(undefined);
  });
});

/** The report that a delegate makes now, if it makes one. */
function summarize(
  role: ZoneDelegate,
  reports: readonly MemberReport[],
): ZoneReport | undefined {
  const byName = new Map(reports.map(entry => [entry.member, entry]));
  return summarizeZone(role, EXPECTED, byName, NOW_MS, MADE_AT);
}

/** The report that a delegate makes now. */
function summaryOf(
  role: ZoneDelegate,
  reports: readonly MemberReport[],
): ZoneReport {
  const made = summarize(role, reports);
  if (made === undefined) throw new Error('No report was made.');
  return made;
}

function report(
  member: string,
  revision: number,
  silentMs: number,
): MemberReport {
  return {member, revision, atMs: NOW_MS - silentMs};
}
