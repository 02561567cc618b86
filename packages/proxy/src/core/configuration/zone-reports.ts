import type {
  ExpectedMember,
  MemberReport,
  TimedZoneReport,
} from '@sapphireglade/decisions';
import {
  selectNewerReport,
  summarizeZone,
  computeUnconfirmedMs,
} from '@sapphireglade/decisions';
import type {
  AgedZoneReport,
  ZoneConfigurationStatus,
} from '@sapphireglade/protocol';
import type {HybridLogicalClock} from '@sapphireglade/runtime';

/** What this process knows of the revisions in force in every zone. */
export class ZoneReports {
  private readonly memberReports = new Map<string, MemberReport>();
  private readonly zones = new Map<string, TimedZoneReport>();
  private delegateSinceMs: number | undefined;

  /**
   * @param zone - The own zone.
   * @param self - Name of this proxy.
   * @param clock - Stamps the reports that this proxy makes.
   */
  constructor(
    private readonly zone: string,
    private readonly self: string,
    private readonly clock: Pick<HybridLogicalClock, 'tick'>,
  ) {}

  /** Notes what a proxy of the own zone applies. */
  recordMemberReport(member: string, revision: number, nowMs: number): void {
    this.memberReports.set(member, {member, revision, atMs: nowMs});
  }

  /** Notes what other proxies know of zones. */
  recordZoneReports(zones: readonly AgedZoneReport[], nowMs: number): void {
    for (const {report, ageMs} of zones) {
      const update = {report, atMs: nowMs - ageMs};
      const known = this.zones.get(report.zone);
      this.zones.set(report.zone, selectNewerReport(known, update));
    }
  }

  /**
   * Forgets what proxies of the own zone reported, because another proxy speaks
   * for the zone and they report to that one from now on.
   */
  clearMemberReports(): void {
    this.memberReports.clear();
    this.delegateSinceMs = undefined;
  }

  /**
   * Sums up the own zone, as its delegate; what was known stays while proxies
   * of the zone are yet to report.
   *
   * @param expected - The proxies of the zone, this one included.
   */
  summarizeOwnZone(expected: readonly ExpectedMember[], nowMs: number): void {
    const names = new Set(expected.map(({name}) => name));
    for (const name of this.memberReports.keys()) {
      if (!names.has(name)) this.memberReports.delete(name);
    }
    this.delegateSinceMs ??= nowMs;
    const {
      zone,
      self: delegate,
      memberReports: reports,
      delegateSinceMs: sinceMs,
    } = this;
    const role = {zone, delegate, sinceMs};
    const madeAt = this.clock.tick();
    const report = summarizeZone(role, expected, reports, nowMs, madeAt);
    if (report !== undefined) this.zones.set(zone, {report, atMs: nowMs});
  }

  /** What is known of all zones, with its age. */
  listReports(nowMs: number): AgedZoneReport[] {
    return [...this.zones.values()].map(({report, atMs}) => ({
      report,
      ageMs: Math.max(0, nowMs - atMs),
    }));
  }

  /** What is known of the own zone, with its age. */
  listOwnZoneReports(nowMs: number): AgedZoneReport[] {
    return this.listReports(nowMs).filter(
      ({report}) => report.zone === this.zone,
    );
  }

  /**
   * Describes all zones for operators.
   *
   * @param zones - Every zone that has a listed VM, with how many.
   */
  describeZones(
    zones: ReadonlyMap<string, number>,
    nowMs: number,
  ): ZoneConfigurationStatus[] {
    return [...zones].sort().map(([zone, members]) => {
      const knowledge = this.zones.get(zone);
      if (knowledge === undefined)
        return createUnknownZoneStatus(zone, members);
      const silentMs = computeUnconfirmedMs(knowledge, nowMs);
      const {revision, delegate} = knowledge.report;
      return {
        zone,
        revision,
        members: knowledge.report.members,
        unconfirmedSince:
          silentMs === null ? null : toTimestampBeforeNow(silentMs),
        delegate,
      };
    });
  }
}

/** A zone of which nothing was heard since this process started. */
function createUnknownZoneStatus(
  zone: string,
  members: number,
): ZoneConfigurationStatus {
  const silentMs = performance.now();
  return {
    zone,
    revision: null,
    members,
    unconfirmedSince: toTimestampBeforeNow(silentMs),
    delegate: null,
  };
}

function toTimestampBeforeNow(durationMs: number): string {
  return new Date(Date.now() - durationMs).toISOString();
}
