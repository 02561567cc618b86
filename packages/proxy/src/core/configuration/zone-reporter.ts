import type {ZonePeers} from '@sapphireglade/decisions';
import {
  chooseReportTarget,
  chooseZoneContacts,
  REPORT_INTERVAL_MS,
} from '@sapphireglade/decisions';
import type {
  AgedZoneReport,
  ConfigurationReport,
  ConfigurationReportResponse,
  ProcessIdentity,
} from '@sapphireglade/protocol';
import {configurationReportResponseSchema} from '@sapphireglade/protocol';
import {PeriodicTask} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {MembershipTracker} from '../membership/index.js';
import type {PeerLinks} from '../peers/index.js';
import type {LatestConfiguration} from './latest-configuration.js';
import type {DelegateElection} from './delegate-election.js';
import {withJitter} from './jitter.js';
import type {PeerConfigurationSync} from './peer-configuration-sync.js';
import type {ZoneReports} from './zone-reports.js';

/** Timeout of a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;

/**
 * Time without confirmation by a delegate after which the VM list is read from
 * the platform, in milliseconds.
 */
const VM_LIST_TIMEOUT_MS = 6_000;

/** Dependencies of the zone reporter. */
export interface ZoneReporterDependencies {
  readonly holder: LatestConfiguration;
  readonly members: MembershipTracker;
  readonly election: DelegateElection;
  readonly configurationSync: PeerConfigurationSync;
  readonly zones: ZoneReports;
  readonly links: Pick<PeerLinks, 'request' | 'notifyAll'>;
}

/**
 * Reports to the delegate of the zone and applies its responses. As the
 * delegate, exchanges zone reports with the other zones.
 */
export class ZoneReporter extends PeriodicTask {
  private readonly delegateByZone = new Map<string, string>();
  private subscription: Subscription | undefined;
  private vmListConfirmedAtMs = -Infinity;

  /**
   * @param context - The shared state of this process.
   * @param dependencies - Dependencies of the reporter.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly dependencies: ZoneReporterDependencies,
  ) {
    super('zone-reporter');
  }

  /** Fetches the reports of all zones from the delegate. */
  async refreshZones(): Promise<void> {
    const target = this.selectReportTarget();
    if (target === undefined) this.summarizeOwnZone();
    else await this.exchangeReports(target, true);
  }

  /** Records the report of another proxy and returns the response. */
  answer(
    report: ConfigurationReport,
    peer: ProcessIdentity,
  ): ConfigurationReportResponse {
    const {holder, members, election, zones} = this.dependencies;
    const now = performance.now();
    members.applyEvent({
      type: 'peer-heard',
      name: peer.process,
      boot: peer.boot,
    });
    const isOfOwnZone = peer.zone === this.context.settings.zone;
    if (isOfOwnZone && this.selectReportTarget() === undefined) {
      zones.recordMemberReport(peer.process, report.revision, now);
    }
    zones.recordZoneReports(report.zones, now);
    this.pullIfNewer(peer.process, report.revision);
    const isSameList = report.listDigest === members.vmListDigest;
    return {
      boot: this.context.identity.boot,
      revision: holder.revision,
      isKnown: holder.isKnown,
      leaseHolder: election.leaseHolder ?? null,
      zones: report.wantsZones ? this.knownZoneReports() : [],
      listDigest: members.vmListDigest,
      vms: isSameList ? undefined : [...members.vmList],
    };
  }

  /**
   * Returns whether this proxy must read the VM list from the platform itself.
   */
  shouldReadVmList(): boolean {
    const {members, election} = this.dependencies;
    if (election.isDelegate || members.vmListDigest === '') return true;
    return performance.now() - this.vmListConfirmedAtMs > VM_LIST_TIMEOUT_MS;
  }

  /**
   * Pulls the configuration of a peer in the background if its revision is
   * newer.
   */
  pullIfNewer(peer: string, revision: number): void {
    if (revision <= this.dependencies.holder.revision) return;
    void this.dependencies.configurationSync.pull(peer).catch(() => undefined);
  }

  protected override async onStart(): Promise<void> {
    await super.onStart();
    const {configuration, members} = this.context;
    this.subscription = configuration.subscribe(({revision}) => {
      if (revision > 0) this.announceRevision(revision);
    });
    this.subscription.add(members.subscribe(() => this.wakeIfUnconfigured()));
  }

  protected override async onStop(): Promise<void> {
    this.subscription?.unsubscribe();
    await super.onStop();
  }

  protected async runOnce(): Promise<number> {
    this.dependencies.members.publishIfChanged();
    const target = this.selectReportTarget();
    if (target === undefined) await this.exchangeWithZones();
    else await this.exchangeReports(target, false);
    return withJitter(REPORT_INTERVAL_MS);
  }

  /** Reports at once on new members, until a configuration is loaded. */
  private wakeIfUnconfigured(): void {
    if (!this.dependencies.holder.isKnown) this.runNow();
  }

  /** Offers a new revision over every link and reports it immediately. */
  private announceRevision(revision: number): void {
    this.dependencies.links.notifyAll({type: 'configuration-offer', revision});
    this.runNow();
  }

  private async exchangeWithZones(): Promise<void> {
    this.summarizeOwnZone();
    const others = this.dependencies.members.listContactableByZone();
    others.delete(this.context.settings.zone);
    const contacts = chooseZoneContacts(others, Math.random());
    const delegates = [...this.delegateByZone]
      .filter(([zone, name]) => others.get(zone)?.includes(name))
      .map(([, name]) => name);
    const targets = new Set([...contacts, ...delegates]);
    await Promise.all(
      [...targets].map(name => this.exchangeReports(name, true)),
    );
  }

  /** Reports to one proxy and applies its response. */
  private async exchangeReports(
    peer: string,
    wantsZones: boolean,
  ): Promise<void> {
    const {holder, members, links} = this.dependencies;
    const report: ConfigurationReport = {
      type: 'configuration-report',
      revision: holder.revision,
      zones: this.ownZoneReports(),
      wantsZones,
      listDigest: members.vmListDigest,
    };
    try {
      const answer = await links.request(peer, report, REPORT_TIMEOUT_MS);
      this.take(peer, configurationReportResponseSchema.parse(answer));
    } catch {
      members.applyEvent({type: 'peer-failed', name: peer});
    }
  }

  private take(peer: string, answer: ConfigurationReportResponse): void {
    const {holder, members, election, zones} = this.dependencies;
    members.applyEvent({type: 'peer-heard', name: peer, boot: answer.boot});
    zones.recordZoneReports(answer.zones, performance.now());
    const isOwnDelegate = peer === answer.leaseHolder && !election.isDelegate;
    if (isOwnDelegate) this.applyVmList(answer);
    this.recordLeaseHolder(peer, answer.leaseHolder, election);
    if (answer.isKnown && answer.revision <= holder.revision)
      holder.markLoaded();
    this.pullIfNewer(peer, answer.revision);
  }

  /** Applies the VM list received from the delegate of this zone. */
  private applyVmList({vms, listDigest}: ConfigurationReportResponse): void {
    const {members} = this.dependencies;
    if (vms !== undefined && listDigest !== '') members.applyVmList(vms);
    this.vmListConfirmedAtMs = performance.now();
  }

  private recordLeaseHolder(
    peer: string,
    leaseHolder: string | null,
    election: DelegateElection,
  ): void {
    const zone = this.context.members.value.find(
      ({name}) => name === peer,
    )?.zone;
    if (zone === this.context.settings.zone)
      election.recordLeaseHolder(leaseHolder);
    else if (zone !== undefined && leaseHolder !== null) {
      this.delegateByZone.set(zone, leaseHolder);
    }
  }

  /**
   * Updates the summary of this zone; needs a VM list to determine its members.
   */
  private summarizeOwnZone(): void {
    const {zone, vm} = this.context.settings;
    const {zones, members, holder} = this.dependencies;
    if (members.vmListDigest === '') return;
    const now = performance.now();
    zones.recordMemberReport(vm, holder.revision, now);
    zones.summarizeOwnZone(members.expected(zone), now);
  }

  /** Returns the report of this zone, if this proxy is its report target. */
  private ownZoneReports(): AgedZoneReport[] {
    return this.selectReportTarget() === undefined
      ? this.dependencies.zones.listOwnZoneReports(performance.now())
      : [];
  }

  private knownZoneReports(): AgedZoneReport[] {
    if (this.selectReportTarget() === undefined) this.summarizeOwnZone();
    return this.dependencies.zones.listReports(performance.now());
  }

  /** Returns the proxy to report to; `undefined` if it is this proxy. */
  private selectReportTarget(): string | undefined {
    const target = chooseReportTarget(this.targets());
    if (target !== undefined) this.dependencies.zones.clearMemberReports();
    return target;
  }

  private targets(): ZonePeers {
    const {zone, vm} = this.context.settings;
    const {members, election} = this.dependencies;
    return {
      self: vm,
      zone,
      reachable: members.listContactableByZone().get(zone) ?? [vm],
      leaseHolder: election.leaseHolder,
    };
  }
}
