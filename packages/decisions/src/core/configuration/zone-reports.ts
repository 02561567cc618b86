/** Aggregates which revision is in force in each availability zone. */
import type {HybridTimestamp} from '../clock/index.js';
import {compareTimestamps} from '../clock/index.js';

/** Silence after which a proxy no longer counts as confirmed. */
export const CONFIRMATION_TIMEOUT_MS = 6_000;

/** What one proxy of a zone last reported to the delegate. */
export interface MemberReport {
  /** Name of the proxy. */
  readonly member: string;
  /** Revision that it applies. */
  readonly revision: number;
  /** Monotonic time of the report, in milliseconds. */
  readonly atMs: number;
}

/** What a zone's delegate knows of its zone. */
export interface ZoneReport {
  /**
   * Orders the reports of a zone; no two of one process have the same. A
   * delegate that heard of a report stamps its own above it, whatever its wall
   * clock shows, because these clocks travel in every frame.
   */
  readonly madeAt: HybridTimestamp;
  readonly zone: string;
  /** The delegate that made the report. */
  readonly delegate: string;
  /** Lowest revision reported; null if none was. */
  readonly revision: number | null;
  /** How many proxies are expected to report. */
  readonly members: number;
  /** How long the most silent proxy has been silent; null if none is. */
  readonly unconfirmedForMs: number | null;
}

/** A zone report with the time at which it was made or arrived. */
export interface TimedZoneReport {
  readonly report: ZoneReport;
  /** Monotonic time, in milliseconds. */
  readonly atMs: number;
}

/** A proxy that is expected to report. */
export interface ExpectedMember {
  readonly name: string;
  /** Monotonic time since which it is expected, in milliseconds. */
  readonly sinceMs: number;
}

/** Who speaks for a zone. */
export interface ZoneDelegate {
  readonly zone: string;
  /** The proxy that makes the reports. */
  readonly delegate: string;
  /** Monotonic time since which the proxies report to it, in milliseconds. */
  readonly sinceMs: number;
}

/**
 * Makes the report of a zone.
 *
 * A new delegate waits for the word of every proxy, as long as silence is
 * allowed. Until then it would vouch for proxies that it never heard, and its
 * report would replace that of a delegate that did.
 *
 * @param role - Who makes the report.
 * @param expected - The proxies of the zone, this one included.
 * @param reports - The latest report of each proxy to this delegate, by name.
 * @param nowMs - Monotonic time, in milliseconds.
 * @param madeAt - The delegate's hybrid clock, advanced for the report.
 * @returns The report; nothing while the delegate is new in its role and has not
 *   heard every proxy.
 */
export function summarizeZone(
  role: ZoneDelegate,
  expected: readonly ExpectedMember[],
  reports: ReadonlyMap<string, MemberReport>,
  nowMs: number,
  madeAt: HybridTimestamp,
): ZoneReport | undefined {
  const isNewInRole = nowMs - role.sinceMs <= CONFIRMATION_TIMEOUT_MS;
  if (isNewInRole && expected.some(({name}) => !reports.has(name))) {
    return undefined;
  }
  const revisions: number[] = [];
  let silentMs = 0;
  for (const {name, sinceMs} of expected) {
    const report = reports.get(name);
    if (report !== undefined) revisions.push(report.revision);
    const heardAtMs = report?.atMs ?? Math.max(sinceMs, role.sinceMs);
    silentMs = Math.max(silentMs, nowMs - heardAtMs);
  }
  return {
    madeAt,
    zone: role.zone,
    delegate: role.delegate,
    revision: revisions.length === 0 ? null : Math.min(...revisions),
    members: expected.length,
    unconfirmedForMs: silentMs > CONFIRMATION_TIMEOUT_MS ? silentMs : null,
  };
}

/**
 * Keeps the newer of two pieces of knowledge of a zone. Reports carry
 * durations, not times of day, so the clocks of two proxies never meet.
 *
 * The time on the way is not known, so each arrival makes a report seem younger
 * than it is. The order of reports is therefore not that of their ages: an older
 * one that was longer on its way would replace a newer one. Of two arrivals of
 * one report the older time is closer to the truth; else proxies that tell it
 * each other would keep it young for ever.
 *
 * @param known - What is known; nothing if this is the first.
 * @param update - What arrived.
 * @returns One of both.
 */
export function selectNewerReport(
  known: TimedZoneReport | undefined,
  update: TimedZoneReport,
): TimedZoneReport {
  if (known === undefined) return update;
  const order = compareReports(update.report, known.report);
  if (order === 0) return update.atMs < known.atMs ? update : known;
  return order > 0 ? update : known;
}

/** Orders two reports of a zone; zero if they are the same. */
function compareReports(left: ZoneReport, right: ZoneReport): number {
  const order = compareTimestamps(left.madeAt, right.madeAt);
  if (order !== 0 || left.delegate === right.delegate) return order;
  return left.delegate < right.delegate ? -1 : 1;
}

/**
 * Says since when a zone is unconfirmed.
 *
 * @returns How long, in milliseconds; null if the zone is confirmed.
 */
export function computeUnconfirmedMs(
  knowledge: TimedZoneReport,
  nowMs: number,
): number | null {
  const ageMs = nowMs - knowledge.atMs;
  const {unconfirmedForMs: reported} = knowledge.report;
  if (reported !== null) return reported + ageMs;
  return ageMs > CONFIRMATION_TIMEOUT_MS ? ageMs : null;
}

/**
 * Decides whether a revision is in force at every proxy of every zone.
 *
 * @param zones - What is known of each zone.
 * @param revision - The revision asked for.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function isAppliedEverywhere(
  zones: readonly TimedZoneReport[],
  revision: number,
  nowMs: number,
): boolean {
  return zones.every(
    knowledge =>
      computeUnconfirmedMs(knowledge, nowMs) === null &&
      knowledge.report.revision !== null &&
      knowledge.report.revision >= revision,
  );
}
