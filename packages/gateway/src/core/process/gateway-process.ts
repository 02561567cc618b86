import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ClockReading} from '@sapphireglade/decisions';
import {carryingCapacity} from '@sapphireglade/decisions';
import type {LoggerFactory} from '@sapphireglade/runtime';
import {LogPart, TaskState} from '@sapphireglade/runtime';
import {auditTime} from 'rxjs';
import {ConfigurationHolder} from '../configuration/index.js';
import {
  ControlConnections,
  CoordinatorKey,
  CoordinatorTask,
} from '../coordinator/index.js';
import {InstanceDirectory} from '../directory/index.js';
import {ForwardingService} from '../forwarding/index.js';
import {CommitSurveys, GroupRegistry, PrimaryRecords} from '../groups/index.js';
import {GatewayMetrics, setGatewayGauges} from '../metrics/index.js';
import {
  KnownProxies,
  Members,
  MemberTask,
  ViewLeaseTask,
} from '../membership/index.js';
import {
  followAll,
  PrimaryWatchTask,
  Releases,
  ViewProofTask,
} from '../primary-watch/index.js';
import {NewsFollower} from '../news/index.js';
import {GroupOwnership} from '../ownership/index.js';
import type {SessionContext} from '../sessions/index.js';
import {CallerSession, StatementExecutor} from '../sessions/index.js';
import type {RunningSettings} from '../settings/index.js';
import {StoreFollowers} from './store-followers.js';
import {readClocks, within} from '../time/index.js';
import type {GatewayAdapters} from './gateway-adapters.js';

/** For how long changes of the list of proxies are gathered, in milliseconds; a fleet that starts together makes many. */
const RECONCILE_DELAY_MS = 100;

/** How often housekeeping runs, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/**
 * How long new callers are still served after a stop began, in milliseconds.
 * The balancer asks once a second and needs two misses.
 */
const BALANCER_DELAY_MS = 2_300;

/** Part of the grace time in which open transactions may end. */
const TRANSACTION_PART = 0.5;

/** Part of the grace time after which the process ends in any case. */
const LAST_PART = 0.9;

/** How long the store may take to hear that this process stops, in milliseconds; its leases lapse anyway. */
const FAREWELL_TIMEOUT_MS = 250;

/** How often a stopping process looks whether it is done, in milliseconds. */
const STOP_POLL_MS = 50;

/** One gateway process. */
export class GatewayProcess {
  private readonly configuration: ConfigurationHolder;
  private readonly directory: InstanceDirectory;
  private readonly members: Members;
  private readonly groups: GroupRegistry;
  private readonly ownership: GroupOwnership;
  private readonly forwarding: ForwardingService;
  private readonly followers: StoreFollowers;
  private readonly news: NewsFollower;
  private readonly viewLease: ViewLeaseTask;
  private readonly member: MemberTask;
  private readonly watch: PrimaryWatchTask;
  private readonly proofs: ViewProofTask;
  private readonly coordinator: CoordinatorTask;
  private readonly incarnation = randomUUID();
  private readonly metrics = new GatewayMetrics();
  private housekeeping: NodeJS.Timeout | undefined;
  private isStopping = false;

  constructor(
    private readonly settings: RunningSettings,
    private readonly adapters: GatewayAdapters,
    private readonly loggers: LoggerFactory,
  ) {
    const {store, connector, promotions} = adapters;
    const {name, availabilityZone, listen} = settings.current;
    const {region, regionOf} = this;
    const failoverLog = loggers(LogPart.Failover);
    const knownProxies = new KnownProxies();
    this.configuration = new ConfigurationHolder(
      loggers(LogPart.Configuration),
    );
    this.directory = new InstanceDirectory(loggers(LogPart.Upstream));
    this.members = new Members(loggers(LogPart.Membership));
    this.ownership = new GroupOwnership({
      self: name,
      members: this.members,
      directory: this.directory,
      configuration: this.configuration,
      regionOf,
      isFleetOld: () => knownProxies.ranBeforeStart,
      log: loggers(LogPart.Membership),
    });
    this.groups = new GroupRegistry({
      self: name,
      configuration: this.configuration,
      directory: this.directory,
      connector,
      ownership: this.ownership,
      zoneOf: member => this.members.find(member)?.availabilityZone,
      earlierProxies: () => knownProxies.ranBefore(name),
      isNear: zone => this.regionOf(zone) === this.region,
      log: loggers(LogPart.Pool),
    });
    const key = new CoordinatorKey();
    const announced = adapters.sections(this.configuration, this.directory);
    const releases = new Releases(
      name,
      store,
      () => this.viewLease.leaseId,
      failoverLog,
    );
    this.followers = new StoreFollowers({
      store,
      ownSections: [
        this.members,
        releases,
        knownProxies,
        key,
        new PrimaryRecords(this.groups, failoverLog),
      ],
      announced,
      configurationWithinMs: () => settings.current.configurationWithinMs,
      isCoordinator: () => this.coordinator.mayCoordinate,
      ownsAny: () => this.ownership.ownsAny,
      areNewsTold: () => this.news.isActive,
      onOwnConfirmed: sentAt => {
        this.viewLease.recordsRead(sentAt);
        // Nobody waits for the views of a proxy that was not known then.
        const isKnown =
          this.viewLease.wasPublishedBefore(sentAt) ||
          knownProxies.ranBefore(name).length > 0;
        if (isKnown) this.groups.confirmAll(sentAt);
      },
      log: loggers(LogPart.Store),
    });
    this.forwarding = new ForwardingService({
      identity: {
        process: name,
        boot: this.incarnation,
        zone: availabilityZone,
      },
      region,
      regionOf,
      listen: addressOf(listen.peers),
      ownership: this.ownership,
      members: this.members,
      configuration: this.configuration,
      primaryZoneOf: group => this.groups.primaryZoneOf(group),
      local: this.createExecutor(),
      news: this.followers.createNewsDesk(),
      log: loggers(LogPart.Routing),
    });
    this.news = new NewsFollower({
      mayRely: () =>
        !this.ownership.ownsAny &&
        !this.isStopping &&
        !this.coordinator.mayCoordinate,
      ask: request => this.forwarding.askNews(request),
      sections: {
        members: this.members,
        configuration: announced.configuration,
      },
      log: loggers(LogPart.Membership),
    });
    this.member = new MemberTask({
      name,
      incarnation: this.incarnation,
      availabilityZone,
      peerAddress: () => this.forwarding.peerAddress,
      capacity: () => carryingCapacity(settings.current.capacity),
      ownsAny: () => this.ownership.ownsAny,
      onPublished: () => this.followers.own.refresh(),
      store,
      members: this.members,
      log: loggers(LogPart.Membership),
    });
    followAll(releases, this.groups);
    this.watch = new PrimaryWatchTask(this.groups, this.member, failoverLog);
    this.proofs = new ViewProofTask(this.groups, region, regionOf, failoverLog);
    this.viewLease = new ViewLeaseTask({
      name,
      store,
      keyRevision: () => knownProxies.revisionOf(name),
      proxyCount: () => knownProxies.names.length,
      log: loggers(LogPart.Membership),
      onRenewed: sentAt => this.prolongViews(sentAt),
      onRecordsNeeded: () => this.followers.own.refresh(),
    });
    this.coordinator = new CoordinatorTask({
      context: {
        self: name,
        store,
        groups: this.groups,
        directory: this.directory,
        configuration: this.configuration,
        members: this.members,
        ownersOf: group => this.ownership.ownersOf(group),
        releases,
        knownProxies,
        control: new ControlConnections(connector, failoverLog),
        promotions,
        followedRevision: () => this.followers.own.revision,
        metrics: this.metrics,
        log: failoverLog,
      },
      key,
      lease: this.viewLease,
      holder: `${name}/${this.incarnation}`,
      isConnected: () => this.followers.isConnected,
      isInformed: () => this.followers.isInformed,
      onNewsNeeded: () => this.followers.refreshDirectory(),
    });
    this.members.changes$
      .pipe(auditTime(RECONCILE_DELAY_MS))
      .subscribe(() => this.reconcile());
    settings.changes$.subscribe(({maximumCallers}) =>
      adapters.callerDoor.limit(maximumCallers),
    );
  }

  /** Finds the region of an availability zone. */
  private get regionOf(): (zone: string) => string {
    const {regions} = this.settings.current;
    return zone => regions[zone] ?? zone;
  }

  /** Region of this VM. */
  private get region(): string {
    return this.regionOf(this.settings.current.availabilityZone);
  }

  /** Whether this proxy can serve callers. */
  get isReady(): boolean {
    const {current} = this.configuration;
    if (this.isStopping || current === undefined) return false;
    const isConnected = this.groups.owned.some(({members}) =>
      [...members.values()].some(({pool}) => pool.connections > 0),
    );
    const hasOwner = (name: string): boolean => this.forwarding.hasOwner(name);
    return isConnected || [...current.groups.keys()].some(hasOwner);
  }

  /** Runs statements on connections of this process. */
  private createExecutor(): StatementExecutor {
    const log = this.loggers(LogPart.Routing);
    return new StatementExecutor({
      groups: this.groups,
      surveys: new CommitSurveys(this.configuration, log),
      region: this.region,
      regionOf: this.regionOf,
      metrics: this.metrics,
      log,
    });
  }

  /** Brings connections in line with what is owned; only owners have views. */
  private reconcile(): void {
    // A proxy that stops makes room for those that take over.
    this.groups.reconcile();
    const isFirst = this.viewLease.state === TaskState.Created;
    const needsLease = isFirst && this.ownership.ownsAny && !this.isStopping;
    if (needsLease) void this.viewLease.start();
  }

  /** A renewed lease prolongs the views that count; others are asked for anew. */
  private prolongViews(sentAt: ClockReading): void {
    this.groups.prolongAll(sentAt);
    const now = readClocks();
    const areValid = this.groups.owned.every(({confirmation}) =>
      confirmation.isValid(now),
    );
    if (!areValid) this.followers.own.refresh();
  }

  /** Starts everything; callers are accepted at once, the balancer is told when. */
  async start(): Promise<void> {
    const {availabilityZone, name} = this.settings.current;
    const log = this.loggers(LogPart.Process);
    const context: SessionContext = {
      configuration: this.configuration,
      runnerFor: group => this.forwarding.runnerFor(group),
      metrics: this.metrics,
      log: this.loggers(LogPart.Routing),
    };
    await this.adapters.readinessDoor.listen(() => this.isReady);
    await this.serveMetrics();
    await this.forwarding.start();
    await this.adapters.callerDoor.listen(
      database => new CallerSession(context, database),
    );
    await this.followers.start();
    await this.news.start();
    await this.member.start();
    await this.watch.start();
    await this.proofs.start();
    await this.coordinator.start();
    this.housekeeping = setInterval(() => {
      const {isDirectoryReachable, isDirectoryOld} = this.followers;
      this.directory.dropMissing(isDirectoryReachable, isDirectoryOld);
      this.reconcile();
    }, HOUSEKEEPING_INTERVAL_MS);
    log.info('The process started.', {name, zone: availabilityZone});
  }

  private async serveMetrics(): Promise<void> {
    setGatewayGauges(this.metrics, {
      groups: this.groups,
      configuration: this.configuration,
      isReady: () => this.isReady,
      isStoreReachable: () => this.followers.own.isStoreReachable,
      sessions: () => this.adapters.callerDoor.openConnections,
      members: () => this.members.names.length,
      openLinks: () => this.forwarding.openLinks,
    });
    await this.adapters.metricsDoor?.listen(() => this.metrics.render());
  }

  /** Stops without cutting off what callers have begun. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const beganAtMs = performance.now();
    const log = this.loggers(LogPart.Process);
    log.info('The process is stopping.', {
      connections: this.adapters.callerDoor.openConnections,
    });
    this.ownership.keep();
    // Others take over what this proxy owns while it still serves.
    await within(
      Promise.all([this.coordinator.stop(0), this.member.stop(0)]),
      FAREWELL_TIMEOUT_MS,
    );
    await sleep(BALANCER_DELAY_MS);
    this.adapters.callerDoor.drain();
    this.forwarding.drain();
    const graceMs = this.settings.current.stopGraceS * 1_000;
    await this.awaitCallers(beganAtMs + graceMs * TRANSACTION_PART);
    this.adapters.callerDoor.endOpenTransactions();
    this.forwarding.endGuestTransactions();
    await this.awaitCallers(beganAtMs + graceMs * LAST_PART);
    await this.end();
    log.info('The process stopped.', {
      tookMs: Math.round(performance.now() - beganAtMs),
    });
  }

  private async awaitCallers(limitMs: number): Promise<void> {
    const {callerDoor} = this.adapters;
    const isServing = (): boolean =>
      callerDoor.openConnections + this.forwarding.openGuestWork > 0;
    while (isServing() && performance.now() < limitMs) {
      await sleep(STOP_POLL_MS);
    }
  }

  private async end(): Promise<void> {
    clearInterval(this.housekeeping);
    await this.adapters.callerDoor.close();
    await this.watch.stop(0);
    await this.proofs.stop(0);
    await this.news.stop(0);
    await this.followers.stop();
    await within(this.viewLease.stop(0), FAREWELL_TIMEOUT_MS);
    await this.forwarding.stop();
    await this.adapters.readinessDoor.close();
    await this.adapters.metricsDoor?.close();
  }
}

/** Splits HOST:PORT, as the settings have it. */
function addressOf(text: string): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
