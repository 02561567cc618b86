import type {
  ExpectedMember,
  MemberReport,
  ZoneKnowledge,
} from '@sapphireglade/decisions';
import {
  newerKnowledge,
  summarizeZone,
  unconfirmedForMs,
} from '@sapphireglade/decisions';
import type {AgedZoneReport, ZoneInForce} from '@sapphireglade/protocol';
import type {ProcessClock} from '@sapphireglade/runtime';

/** What this process knows of the revisions in force in every zone. */
export class ZoneTable {
  private readonly reports = new Map<string, MemberReport>();
  private readonly zones = new Map<string, ZoneKnowledge>();
  private speaksSinceMs: number | undefined;

  /**
   * @param zone - The own zone.
   * @param self - Name of this proxy.
   * @param clock - Stamps the reports that this proxy makes.
   */
  constructor(
    private readonly zone: string,
    private readonly self: string,
    private readonly clock: Pick<ProcessClock, 'tick'>,
  ) {}

  /** Notes what a proxy of the own zone applies. */
  noteMember(member: string, revision: number, nowMs: number): void {
    this.reports.set(member, {member, revision, atMs: nowMs});
  }

  /** Notes what other proxies know of zones. */
  noteZones(zones: readonly AgedZoneReport[], nowMs: number): void {
    for (const {report, ageMs} of zones) {
      const update = {report, atMs: nowMs - ageMs};
      const known = this.zones.get(report.zone);
      this.zones.set(report.zone, newerKnowledge(known, update));
    }
  }

  /**
   * Forgets what proxies of the own zone reported, because another proxy speaks
   * for the zone and they report to that one from now on.
   */
  yieldRole(): void {
    this.reports.clear();
    this.speaksSinceMs = undefined;
  }

  /**
   * Sums up the own zone, as its delegate; what was known stays while proxies
   * of the zone are yet to report.
   *
   * @param expected - The proxies of the zone, this one included.
   */
  summarize(expected: readonly ExpectedMember[], nowMs: number): void {
    const names = new Set(expected.map(({name}) => name));
    for (const name of this.reports.keys()) {
      if (!names.has(name)) this.reports.delete(name);
    }
    this.speaksSinceMs ??= nowMs;
    const {zone, self: delegate, reports, speaksSinceMs: sinceMs} = this;
    const role = {zone, delegate, sinceMs};
    const madeAt = this.clock.tick();
    const report = summarizeZone(role, expected, reports, nowMs, madeAt);
    if (report !== undefined) this.zones.set(zone, {report, atMs: nowMs});
  }

  /** What is known of all zones, with its age. */
  aged(nowMs: number): AgedZoneReport[] {
    return [...this.zones.values()].map(({report, atMs}) => ({
      report,
      ageMs: Math.max(0, nowMs - atMs),
    }));
  }

  /** What is known of the own zone, with its age. */
  ownZone(nowMs: number): AgedZoneReport[] {
    return this.aged(nowMs).filter(({report}) => report.zone === this.zone);
  }

  /**
   * Describes all zones for operators.
   *
   * @param zones - Every zone that has a listed VM, with how many.
   */
  describe(zones: ReadonlyMap<string, number>, nowMs: number): ZoneInForce[] {
    return [...zones].sort().map(([zone, members]) => {
      const knowledge = this.zones.get(zone);
      if (knowledge === undefined) return unknownZone(zone, members);
      const silentMs = unconfirmedForMs(knowledge, nowMs);
      const {revision, delegate} = knowledge.report;
      return {
        zone,
        revision,
        members: knowledge.report.members,
        unconfirmedSince: silentMs === null ? null : timeAgo(silentMs),
        delegate,
      };
    });
  }
}

/** A zone of which nothing was heard since this process started. */
function unknownZone(zone: string, members: number): ZoneInForce {
  const silentMs = performance.now();
  return {
    zone,
    revision: null,
    members,
    unconfirmedSince: timeAgo(silentMs),
    delegate: null,
  };
}

function timeAgo(durationMs: number): string {
  return new Date(Date.now() - durationMs).toISOString();
}
