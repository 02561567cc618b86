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

/** Cached reports of the configuration revisions in force in every zone. */
export class ZoneReports {
  private readonly memberReports = new Map<string, MemberReport>();
  private readonly zones = new Map<string, TimedZoneReport>();
  private delegateSinceMs: number | undefined;

  /**
   * @param zone - The zone of this proxy.
   * @param self - Name of this proxy.
   * @param clock - Supplies the timestamps of reports made by this proxy.
   */
  constructor(
    private readonly zone: string,
    private readonly self: string,
    private readonly clock: Pick<HybridLogicalClock, 'tick'>,
  ) {}

  /** Records the revision that a proxy of this zone applies. */
  recordMemberReport(member: string, revision: number, nowMs: number): void {
    this.memberReports.set(member, {member, revision, atMs: nowMs});
  }

  /** Merges zone reports received from another proxy; newer reports win. */
  recordZoneReports(zones: readonly AgedZoneReport[], nowMs: number): void {
    for (const {report, ageMs} of zones) {
      const update = {report, atMs: nowMs - ageMs};
      const cached = this.zones.get(report.zone);
      this.zones.set(report.zone, selectNewerReport(cached, update));
    }
  }

  /**
   * Removes the reports of proxies in this zone. Another proxy is the report
   * target of the zone, and they report to that one from now on.
   */
  clearMemberReports(): void {
    this.memberReports.clear();
    this.delegateSinceMs = undefined;
  }

  /**
   * Updates the summary of this zone, as its delegate. The previous summary is
   * kept while reports of proxies in the zone are outstanding.
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

  /** Returns the cached reports of all zones, with their age. */
  listReports(nowMs: number): AgedZoneReport[] {
    return [...this.zones.values()].map(({report, atMs}) => ({
      report,
      ageMs: Math.max(0, nowMs - atMs),
    }));
  }

  /** Returns the cached report of this zone, with its age. */
  listOwnZoneReports(nowMs: number): AgedZoneReport[] {
    return this.listReports(nowMs).filter(
      ({report}) => report.zone === this.zone,
    );
  }

  /**
   * Describes all zones for operators.
   *
   * @param zones - Number of listed VMs per zone, for every zone that has any.
   */
  describeZones(
    zones: ReadonlyMap<string, number>,
    nowMs: number,
  ): ZoneConfigurationStatus[] {
    return [...zones].sort().map(([zone, members]) => {
      const timedReport = this.zones.get(zone);
      if (timedReport === undefined)
        return createUnknownZoneStatus(zone, members);
      const unconfirmedMs = computeUnconfirmedMs(timedReport, nowMs);
      const {revision, delegate} = timedReport.report;
      return {
        zone,
        revision,
        members: timedReport.report.members,
        unconfirmedSince:
          unconfirmedMs === null ? null : toTimestampBeforeNow(unconfirmedMs),
        delegate,
      };
    });
  }
}

/** Returns the status of a zone without reports since this process started. */
function createUnknownZoneStatus(
  zone: string,
  members: number,
): ZoneConfigurationStatus {
  const unconfirmedMs = performance.now();
  return {
    zone,
    revision: null,
    members,
    unconfirmedSince: toTimestampBeforeNow(unconfirmedMs),
    delegate: null,
  };
}

function toTimestampBeforeNow(durationMs: number): string {
  return new Date(Date.now() - durationMs).toISOString();
}
