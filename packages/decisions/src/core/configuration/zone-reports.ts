/** Aggregates the applied configuration revision of each availability zone. */
import type {HybridTimestamp} from '../clock/index.js';
import {compareTimestamps} from '../clock/index.js';

/** Time without a report after which a proxy is unconfirmed. */
export const CONFIRMATION_TIMEOUT_MS = 6_000;

/** Latest report of one proxy to the delegate of its zone. */
export interface MemberReport {
  /** Name of the proxy. */
  readonly member: string;
  /** Revision that it applies. */
  readonly revision: number;
  /** Monotonic time of the report, in milliseconds. */
  readonly atMs: number;
}

/** State of a zone, aggregated by its delegate. */
export interface ZoneReport {
  /**
   * Orders the reports of a zone; unique among the reports of one process. A
   * delegate that has received a report gives its own a later timestamp, whatever
   * its wall clock reads, because every frame carries the hybrid clock.
   */
  readonly madeAt: HybridTimestamp;
  readonly zone: string;
  /** The delegate that created the report. */
  readonly delegate: string;
  /** Lowest reported revision; null without reports. */
  readonly revision: number | null;
  /** Number of proxies that are expected to report. */
  readonly members: number;
  /**
   * Longest time since the last report of a proxy, in milliseconds; null if every
   * proxy is confirmed.
   */
  readonly unconfirmedForMs: number | null;
}

/** A zone report with the time at which it was created or received. */
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

/** The delegate role of one zone. */
export interface ZoneDelegate {
  readonly zone: string;
  /** The proxy that creates the zone reports. */
  readonly delegate: string;
  /** Monotonic time since which the proxies report to it, in milliseconds. */
  readonly sinceMs: number;
}

/**
 * Creates the report of a zone.
 *
 * A new delegate waits until every proxy has reported, for at most the
 * confirmation timeout. An earlier report would cover proxies that never reported
 * to this delegate and would replace the report of a delegate that has their
 * reports.
 *
 * @param role - The delegate that creates the report.
 * @param expected - The proxies of the zone, this one included.
 * @param reports - The latest report of each proxy to this delegate, by name.
 * @param nowMs - Monotonic time, in milliseconds.
 * @param madeAt - Timestamp of the report, from the delegate's hybrid clock.
 * @returns The report; undefined while the delegate is new and not every proxy
 *   has reported.
 */
export function summarizeZone(
  role: ZoneDelegate,
  expected: readonly ExpectedMember[],
  reports: ReadonlyMap<string, MemberReport>,
  nowMs: number,
  madeAt: HybridTimestamp,
): ZoneReport | undefined {
  const isNewDelegate = nowMs - role.sinceMs <= CONFIRMATION_TIMEOUT_MS;
  if (isNewDelegate && expected.some(({name}) => !reports.has(name))) {
    return undefined;
  }
  const revisions: number[] = [];
  let longestSilenceMs = 0;
  for (const {name, sinceMs} of expected) {
    const report = reports.get(name);
    if (report !== undefined) revisions.push(report.revision);
    const lastReportAtMs = report?.atMs ?? Math.max(sinceMs, role.sinceMs);
    longestSilenceMs = Math.max(longestSilenceMs, nowMs - lastReportAtMs);
  }
  return {
    madeAt,
    zone: role.zone,
    delegate: role.delegate,
    revision: revisions.length === 0 ? null : Math.min(...revisions),
    members: expected.length,
    unconfirmedForMs:
      longestSilenceMs > CONFIRMATION_TIMEOUT_MS ? longestSilenceMs : null,
  };
}

/**
 * Selects the newer of two reports of a zone. Reports carry durations, not times
 * of day, so the clocks of two proxies are never compared.
 *
 * The transmission time is unknown, so each hop makes a report appear younger than
 * it is. Reports are therefore not ordered by age: an older report with a longer
 * transmission time would replace a newer one. If the same report is received
 * twice, the earlier time is kept because it is closer to the true one; otherwise
 * proxies that send the report to each other would keep it young forever.
 *
 * @param stored - The stored report; undefined if there is none.
 * @param received - The received report.
 * @returns One of the two.
 */
export function selectNewerReport(
  stored: TimedZoneReport | undefined,
  received: TimedZoneReport,
): TimedZoneReport {
  if (stored === undefined) return received;
  const order = compareReports(received.report, stored.report);
  if (order === 0) return received.atMs < stored.atMs ? received : stored;
  return order > 0 ? received : stored;
}

/** Orders two reports of a zone; zero if they are the same. */
function compareReports(left: ZoneReport, right: ZoneReport): number {
  const order = compareTimestamps(left.madeAt, right.madeAt);
  if (order !== 0 || left.delegate === right.delegate) return order;
  return left.delegate < right.delegate ? -1 : 1;
}

/**
 * Computes how long a zone has been unconfirmed.
 *
 * @returns The duration in milliseconds; null if the zone is confirmed.
 */
export function computeUnconfirmedMs(
  timedReport: TimedZoneReport,
  nowMs: number,
): number | null {
  const ageMs = nowMs - timedReport.atMs;
  const {unconfirmedForMs: reportedMs} = timedReport.report;
  if (reportedMs !== null) return reportedMs + ageMs;
  return ageMs > CONFIRMATION_TIMEOUT_MS ? ageMs : null;
}

/**
 * Returns whether every proxy of every zone applies a revision.
 *
 * @param zones - The newest report of each zone.
 * @param revision - The revision in question.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function isAppliedEverywhere(
  zones: readonly TimedZoneReport[],
  revision: number,
  nowMs: number,
): boolean {
  return zones.every(
    timedReport =>
      computeUnconfirmedMs(timedReport, nowMs) === null &&
      timedReport.report.revision !== null &&
      timedReport.report.revision >= revision,
  );
}
