import type {ReportTargets} from '@sapphireglade/decisions';
import {
  chooseReportTarget,
  chooseZoneContacts,
  REPORT_INTERVAL_MS,
} from '@sapphireglade/decisions';
import type {
  AgedZoneReport,
  ConfigurationReport,
  ConfigurationReportAnswer,
  LinkIdentity,
} from '@sapphireglade/protocol';
import {configurationReportAnswerSchema} from '@sapphireglade/protocol';
import {PeriodicTask} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {MembershipHolder} from '../membership/index.js';
import type {PeerLinks} from '../peers/index.js';
import type {ConfigurationHolder} from './configuration-holder.js';
import type {DelegateElection} from './delegate-election.js';
import {withJitter} from './jitter.js';
import type {PeerLearner} from './peer-learner.js';
import type {ZoneTable} from './zone-table.js';

/** How long an answer to a report may take, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;

/** A list that no delegate confirmed for so long is read from the platform. */
const LIST_HEARD_TIMEOUT_MS = 6_000;

/** What the reporter works with. */
export interface ZoneReporterParts {
  readonly holder: ConfigurationHolder;
  readonly members: MembershipHolder;
  readonly election: DelegateElection;
  readonly learner: PeerLearner;
  readonly zones: ZoneTable;
  readonly links: Pick<PeerLinks, 'request' | 'notifyAll'>;
}

/**
 * Reports to the delegate of the zone and learns from it; as the delegate,
 * exchanges what is known with the other zones.
 */
export class ZoneReporter extends PeriodicTask {
  private readonly holders = new Map<string, string>();
  private subscription: Subscription | undefined;
  private listHeardAtMs = -Infinity;

  /**
   * @param context - What every task may use.
   * @param parts - What the reporter works with.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly parts: ZoneReporterParts,
  ) {
    super('zone-reporter');
  }

  /** Asks the delegate what it knows of every zone. */
  async refreshZones(): Promise<void> {
    const target = this.chooseTarget();
    if (target === undefined) this.summarize();
    else await this.exchange(target, true);
  }

  /** Answers the report of another proxy. */
  answer(
    report: ConfigurationReport,
    peer: LinkIdentity,
  ): ConfigurationReportAnswer {
    const {holder, members, election, zones} = this.parts;
    const now = performance.now();
    members.take({type: 'peer-heard', name: peer.process, boot: peer.boot});
    const isOfOwnZone = peer.zone === this.context.settings.zone;
    if (isOfOwnZone && this.chooseTarget() === undefined) {
      zones.noteMember(peer.process, report.revision, now);
    }
    zones.noteZones(report.zones, now);
    this.learnFrom(peer.process, report.revision);
    const isSameList = report.listDigest === members.digest;
    return {
      boot: this.context.identity.boot,
      revision: holder.revision,
      isKnown: holder.isKnown,
      leaseHolder: election.leaseHolder ?? null,
      zones: report.wantsZones ? this.knownZones() : [],
      listDigest: members.digest,
      vms: isSameList ? undefined : [...members.list],
    };
  }

  /** Whether no delegate passes the platform's list on to this proxy. */
  needsOwnList(): boolean {
    const {members, election} = this.parts;
    if (election.isDelegate || members.digest === '') return true;
    return performance.now() - this.listHeardAtMs > LIST_HEARD_TIMEOUT_MS;
  }

  /** Takes in the word of another proxy that it has a revision. */
  learnFrom(peer: string, revision: number): void {
    if (revision <= this.parts.holder.revision) return;
    void this.parts.learner.pull(peer).catch(() => undefined);
  }

  protected override async onStart(): Promise<void> {
    await super.onStart();
    const {configuration, members} = this.context;
    this.subscription = configuration.subscribe(({revision}) => {
      if (revision > 0) this.announce(revision);
    });
    this.subscription.add(members.subscribe(() => this.askNewMembers()));
  }

  protected override async onStop(): Promise<void> {
    this.subscription?.unsubscribe();
    await super.onStop();
  }

  protected async onTurn(): Promise<number> {
    this.parts.members.publish();
    const target = this.chooseTarget();
    if (target === undefined) await this.exchangeWithZones();
    else await this.exchange(target, false);
    return withJitter(REPORT_INTERVAL_MS);
  }

  /** A proxy that knows no configuration yet asks whoever appears. */
  private askNewMembers(): void {
    if (!this.parts.holder.isKnown) this.wake();
  }

  /** Offers a new revision over every link and reports it at once. */
  private announce(revision: number): void {
    this.parts.links.notifyAll({type: 'configuration-offer', revision});
    this.wake();
  }

  private async exchangeWithZones(): Promise<void> {
    this.summarize();
    const others = this.parts.members.contactableByZone();
    others.delete(this.context.settings.zone);
    const contacts = chooseZoneContacts(others, Math.random());
    const known = [...this.holders]
      .filter(([zone, name]) => others.get(zone)?.includes(name))
      .map(([, name]) => name);
    const targets = new Set([...contacts, ...known]);
    await Promise.all([...targets].map(name => this.exchange(name, true)));
  }

  /** Reports to one proxy and takes in its answer. */
  private async exchange(peer: string, wantsZones: boolean): Promise<void> {
    const {holder, members, links} = this.parts;
    const report: ConfigurationReport = {
      type: 'configuration-report',
      revision: holder.revision,
      zones: this.vouchedZones(),
      wantsZones,
      listDigest: members.digest,
    };
    try {
      const answer = await links.request(peer, report, REPORT_TIMEOUT_MS);
      this.take(peer, configurationReportAnswerSchema.parse(answer));
    } catch {
      members.take({type: 'peer-failed', name: peer});
    }
  }

  private take(peer: string, answer: ConfigurationReportAnswer): void {
    const {holder, members, election, zones} = this.parts;
    members.take({type: 'peer-heard', name: peer, boot: answer.boot});
    zones.noteZones(answer.zones, performance.now());
    const isOwnDelegate = peer === answer.leaseHolder && !election.isDelegate;
    if (isOwnDelegate) this.takeList(answer);
    this.noteHolder(peer, answer.leaseHolder, election);
    if (answer.isKnown && answer.revision <= holder.revision) holder.confirm();
    this.learnFrom(peer, answer.revision);
  }

  /** Takes the list of VMs that the delegate of the own zone has. */
  private takeList({vms, listDigest}: ConfigurationReportAnswer): void {
    const {members} = this.parts;
    if (vms !== undefined && listDigest !== '') members.takeList(vms);
    this.listHeardAtMs = performance.now();
  }

  private noteHolder(
    peer: string,
    leaseHolder: string | null,
    election: DelegateElection,
  ): void {
    const zone = this.context.members.value.find(
      ({name}) => name === peer,
    )?.zone;
    if (zone === this.context.settings.zone) election.noteHolder(leaseHolder);
    else if (zone !== undefined && leaseHolder !== null) {
      this.holders.set(zone, leaseHolder);
    }
  }

  /** Sums the zone up; without a list it is not known who belongs to it. */
  private summarize(): void {
    const {zone, vm} = this.context.settings;
    const {zones, members, holder} = this.parts;
    if (members.digest === '') return;
    const now = performance.now();
    zones.noteMember(vm, holder.revision, now);
    zones.summarize(members.expected(zone), now);
  }

  /** The report of the own zone, if this proxy speaks for it. */
  private vouchedZones(): AgedZoneReport[] {
    return this.chooseTarget() === undefined
      ? this.parts.zones.ownZone(performance.now())
      : [];
  }

  private knownZones(): AgedZoneReport[] {
    if (this.chooseTarget() === undefined) this.summarize();
    return this.parts.zones.aged(performance.now());
  }

  /** To whom to report; nobody if this proxy speaks for its zone. */
  private chooseTarget(): string | undefined {
    const target = chooseReportTarget(this.targets());
    if (target !== undefined) this.parts.zones.yieldRole();
    return target;
  }

  private targets(): ReportTargets {
    const {zone, vm} = this.context.settings;
    const {members, election} = this.parts;
    return {
      self: vm,
      zone,
      reachable: members.contactableByZone().get(zone) ?? [vm],
      leaseHolder: election.leaseHolder,
    };
  }
}
