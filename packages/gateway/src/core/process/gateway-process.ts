import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ClockReading} from '@sapphireglade/decisions';
import type {LoggerFactory} from '@sapphireglade/runtime';
import {LogPart, TaskState} from '@sapphireglade/runtime';
import {ConfigurationHolder} from '../configuration/index.js';
import {
  ControlConnections,
  CoordinatorKey,
  CoordinatorTask,
} from '../coordinator/index.js';
import {InstanceDirectory} from '../directory/index.js';
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
import type {SessionContext} from '../sessions/index.js';
import {CallerSession} from '../sessions/index.js';
import type {GatewaySettings} from '../settings/index.js';
import {StoreFollower} from '../store/index.js';
import {readClocks, within} from '../time/index.js';
import type {GatewayAdapters} from './gateway-adapters.js';

/** Prefix of the keys that the proxies share with each other. */
const OWN_PREFIX = 'sapphireglade/';

/** How long a watch of the proxies' own keys waits, in milliseconds; they change seldom, and a change of primary ends the lease of a proxy whose watch is silent. */
const OWN_WATCH_WAIT_MS = 9_000;

/** The same at the coordinator, in milliseconds, which has to learn of failures. */
const COORDINATOR_WATCH_WAIT_MS = 2_000;

/** How long a watch of the configuration and the directory waits, in milliseconds; with the interval below and its grace time it stays within the 3 s in which a configuration has to be in force. */
const ANNOUNCED_WATCH_WAIT_MS = 500;

/** Shortest time between two watches of the configuration and the directory, in milliseconds; each instance writes there about once a second. */
const ANNOUNCED_INTERVAL_MS = 1_500;

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
  /** Follows the proxies' own keys. */
  private readonly ownFollower: StoreFollower;
  /** Follows the configuration and the directory. */
  private readonly announcedFollower: StoreFollower;
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
    private readonly settings: GatewaySettings,
    private readonly adapters: GatewayAdapters,
    private readonly loggers: LoggerFactory,
  ) {
    const {store, connector, promotions} = adapters;
    const {name} = settings;
    const knownProxies = new KnownProxies();
    this.configuration = new ConfigurationHolder(
      loggers(LogPart.Configuration),
    );
    this.directory = new InstanceDirectory(loggers(LogPart.Upstream));
    this.members = new Members(loggers(LogPart.Membership));
    this.groups = new GroupRegistry({
      self: name,
      configuration: this.configuration,
      directory: this.directory,
      connector,
      members: () => this.members.names,
      earlierProxies: () => knownProxies.ranBefore(name),
      isNear: zone => this.regionOf(zone) === this.region,
      log: loggers(LogPart.Pool),
    });
    this.member = new MemberTask({
      name,
      incarnation: this.incarnation,
      store,
      members: this.members,
      log: loggers(LogPart.Membership),
    });
    const failoverLog = loggers(LogPart.Failover);
    const releases = new Releases(name, store, this.member, failoverLog);
    followAll(releases, this.groups);
    this.watch = new PrimaryWatchTask(this.groups, this.member, failoverLog);
    const {region, regionOf} = this;
    this.proofs = new ViewProofTask(this.groups, region, regionOf, failoverLog);
    const key = new CoordinatorKey();
    this.viewLease = new ViewLeaseTask({
      name,
      store,
      memberCount: () => this.members.names.length,
      log: loggers(LogPart.Membership),
      onRenewed: sentAt => this.prolongViews(sentAt),
      onRecordsNeeded: () => this.ownFollower.refresh(),
    });
    this.ownFollower = new StoreFollower({
      store,
      watchedPrefix: OWN_PREFIX,
      watchWaitMs: () =>
        this.coordinator.isCoordinator
          ? COORDINATOR_WATCH_WAIT_MS
          : OWN_WATCH_WAIT_MS,
      minimumIntervalMs: 0,
      sections: [
        this.members,
        releases,
        knownProxies,
        key,
        new PrimaryRecords(this.groups, failoverLog),
      ],
      log: loggers(LogPart.Store),
      onConfirmed: sentAt => {
        // What is published later is not taken for a trace of an earlier run.
        const isFirst = this.viewLease.state === TaskState.Created;
        if (isFirst) void this.viewLease.start();
        this.viewLease.recordsRead(sentAt);
        // Nobody waits for the views of a proxy that is not known yet.
        const isKnown = this.viewLease.isPublished || knownProxies.has(name);
        if (isKnown) this.groups.confirmAll(sentAt);
      },
    });
    this.announcedFollower = new StoreFollower({
      store,
      watchedPrefix: adapters.announcedPrefix,
      watchWaitMs: () => ANNOUNCED_WATCH_WAIT_MS,
      minimumIntervalMs: ANNOUNCED_INTERVAL_MS,
      sections: adapters.sections(this.configuration, this.directory),
      log: loggers(LogPart.Store),
      onConfirmed: () => undefined,
    });
    this.coordinator = new CoordinatorTask({
      context: {
        self: name,
        store,
        groups: this.groups,
        directory: this.directory,
        configuration: this.configuration,
        members: this.members,
        releases,
        knownProxies,
        control: new ControlConnections(connector, failoverLog),
        promotions,
        followedRevision: () => this.ownFollower.revision,
        metrics: this.metrics,
        log: failoverLog,
      },
      key,
      lease: this.viewLease,
      holder: `${name}/${this.incarnation}`,
      isInformed: () =>
        this.announcedFollower.isComplete &&
        this.ownFollower.isComplete &&
        this.ownFollower.isStoreReachable,
    });
    this.members.changes$.subscribe(() => this.groups.divide());
  }

  /** Finds the region of an availability zone. */
  private get regionOf(): (zone: string) => string {
    const {regions} = this.settings;
    return zone => regions[zone] ?? zone;
  }

  /** Region of this VM. */
  private get region(): string {
    return this.regionOf(this.settings.availabilityZone);
  }

  /** Whether this proxy can serve callers. */
  get isReady(): boolean {
    if (this.isStopping || this.configuration.current === undefined) {
      return false;
    }
    return [...this.groups.all].some(({members}) =>
      [...members.values()].some(({pool}) => pool.connections > 0),
    );
  }

  /** A renewed lease prolongs the views that count; others are asked for anew. */
  private prolongViews(sentAt: ClockReading): void {
    this.groups.prolongAll(sentAt);
    const now = readClocks();
    const areValid = [...this.groups.all].every(({confirmation}) =>
      confirmation.isValid(now),
    );
    if (!areValid) this.ownFollower.refresh();
  }

  /** Starts everything; callers are accepted at once, the balancer is told when. */
  async start(): Promise<void> {
    const {availabilityZone, name} = this.settings;
    const log = this.loggers(LogPart.Process);
    const {region, regionOf} = this;
    const context: SessionContext = {
      configuration: this.configuration,
      groups: this.groups,
      surveys: new CommitSurveys(
        this.configuration,
        this.loggers(LogPart.Routing),
      ),
      region,
      regionOf,
      metrics: this.metrics,
      log: this.loggers(LogPart.Routing),
    };
    await this.adapters.readinessDoor.listen(() => this.isReady);
    await this.serveMetrics();
    await this.adapters.callerDoor.listen(
      database => new CallerSession(context, database),
    );
    await this.ownFollower.start();
    await this.announcedFollower.start();
    await this.member.start();
    await this.watch.start();
    await this.proofs.start();
    await this.coordinator.start();
    this.housekeeping = setInterval(() => {
      this.directory.dropMissing(this.announcedFollower.isStoreReachable);
      this.groups.divide();
    }, HOUSEKEEPING_INTERVAL_MS);
    log.info('The process started.', {name, zone: availabilityZone});
  }

  private async serveMetrics(): Promise<void> {
    setGatewayGauges(this.metrics, {
      groups: this.groups,
      configuration: this.configuration,
      isReady: () => this.isReady,
      isStoreReachable: () => this.ownFollower.isStoreReachable,
      sessions: () => this.adapters.callerDoor.openConnections,
      members: () => this.members.names.length,
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
    await within(this.coordinator.stop(0), FAREWELL_TIMEOUT_MS);
    await sleep(BALANCER_DELAY_MS);
    this.adapters.callerDoor.drain();
    const graceMs = this.settings.stopGraceS * 1_000;
    await this.awaitCallers(beganAtMs + graceMs * TRANSACTION_PART);
    this.adapters.callerDoor.endOpenTransactions();
    await this.awaitCallers(beganAtMs + graceMs * LAST_PART);
    await this.end();
    log.info('The process stopped.', {
      tookMs: Math.round(performance.now() - beganAtMs),
    });
  }

  private async awaitCallers(limitMs: number): Promise<void> {
    const {callerDoor} = this.adapters;
    while (callerDoor.openConnections > 0 && performance.now() < limitMs) {
      await sleep(STOP_POLL_MS);
    }
  }

  private async end(): Promise<void> {
    clearInterval(this.housekeeping);
    await this.adapters.callerDoor.close();
    await this.watch.stop(0);
    await this.proofs.stop(0);
    await this.ownFollower.stop(0);
    await this.announcedFollower.stop(0);
    await within(
      Promise.all([this.viewLease.stop(0), this.member.stop(0)]),
      FAREWELL_TIMEOUT_MS,
    );
    await this.adapters.readinessDoor.close();
    await this.adapters.metricsDoor?.close();
  }
}
