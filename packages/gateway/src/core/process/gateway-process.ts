import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {LoggerFactory} from '@sapphireglade/runtime';
import {LogPart} from '@sapphireglade/runtime';
import {ConfigurationHolder} from '../configuration/index.js';
import {
  ControlConnections,
  CoordinatorKey,
  CoordinatorTask,
} from '../coordinator/index.js';
import {InstanceDirectory} from '../directory/index.js';
import {GroupRegistry, PrimaryRecords} from '../groups/index.js';
import {GatewayMetrics, setGatewayGauges} from '../metrics/index.js';
import {KnownProxies, Members, MemberTask} from '../membership/index.js';
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
import {within} from '../time/index.js';
import type {GatewayAdapters} from './gateway-adapters.js';

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
  private readonly follower: StoreFollower;
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
    const knownProxies = new KnownProxies();
    this.follower = new StoreFollower({
      store,
      watchedPrefix: adapters.watchedPrefix,
      sections: [
        ...adapters.sections(this.configuration, this.directory),
        this.members,
        releases,
        knownProxies,
        key,
        new PrimaryRecords(this.groups, failoverLog),
      ],
      log: loggers(LogPart.Store),
      // Nobody waits for the views of a proxy that is not known yet.
      onConfirmed: sentAt => {
        const isKnown = this.member.isRegistered || knownProxies.has(name);
        if (isKnown) this.groups.confirmAll(sentAt);
      },
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
        metrics: this.metrics,
        log: failoverLog,
      },
      key,
      member: this.member,
      holder: `${name}/${this.incarnation}`,
      isInformed: () =>
        this.follower.isComplete && this.follower.isStoreReachable,
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

  /** Starts everything; callers are accepted at once, the balancer is told when. */
  async start(): Promise<void> {
    const {availabilityZone, name} = this.settings;
    const log = this.loggers(LogPart.Process);
    const {region, regionOf} = this;
    const context: SessionContext = {
      configuration: this.configuration,
      groups: this.groups,
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
    await this.follower.start();
    await this.member.start();
    await this.watch.start();
    await this.proofs.start();
    await this.coordinator.start();
    this.housekeeping = setInterval(() => {
      this.directory.dropMissing(this.follower.isStoreReachable);
      this.groups.divide();
    }, HOUSEKEEPING_INTERVAL_MS);
    log.info('The process started.', {name, zone: availabilityZone});
  }

  private async serveMetrics(): Promise<void> {
    setGatewayGauges(this.metrics, {
      groups: this.groups,
      configuration: this.configuration,
      isReady: () => this.isReady,
      isStoreReachable: () => this.follower.isStoreReachable,
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
    await this.follower.stop(0);
    await within(this.member.stop(0), FAREWELL_TIMEOUT_MS);
    await this.adapters.readinessDoor.close();
    await this.adapters.metricsDoor?.close();
  }
}
