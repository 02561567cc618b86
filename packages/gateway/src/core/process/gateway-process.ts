import {randomUUID} from 'node:crypto';
import type {ClockReading} from '@sapphireglade/decisions';
import {scheduleDrain, vmCapacity} from '@sapphireglade/decisions';
import type {LoggerFactory} from '@sapphireglade/runtime';
import {LogPart, TaskState} from '@sapphireglade/runtime';
import {auditTime} from 'rxjs';
import {LatestConfiguration} from '../configuration/index.js';
import {
  ControlConnections,
  CoordinatorKey,
  CoordinatorTask,
  observeGroups,
} from '../coordinator/index.js';
import {InstanceDirectory} from '../directory/index.js';
import {ForwardingService} from '../forwarding/index.js';
import {GroupRegistry, PrimaryRecords} from '../groups/index.js';
import {GatewayMetrics, registerGatewayGauges} from '../metrics/index.js';
import {
  KnownProxies,
  MemberList,
  MemberRegistrationTask,
  recoverKnownProxies,
  ViewLeaseTask,
} from '../membership/index.js';
import {
  followAllGroups,
  PrimaryHealthCheckTask,
  PrimaryReleases,
  ViewVerificationTask,
} from '../primary-health/index.js';
import {StoreRelayClient} from '../store-relay/index.js';
import {GroupOwnership} from '../ownership/index.js';
import type {SessionContext} from '../sessions/index.js';
import {CallerSession} from '../sessions/index.js';
import type {RunningSettings} from '../settings/index.js';
import {findRegion} from '../settings/index.js';
import {StoreWatchers} from './store-watchers.js';
import {withTimeout} from '../time/index.js';
import {createExecutor} from './create-executor.js';
import {createSessionBudget} from './create-session-budget.js';
import {DirectoryUpkeep} from './directory-upkeep.js';
import {DEREGISTRATION_TIMEOUT_MS, drainCallers} from './drain-callers.js';
import type {GatewayAdapters} from './gateway-adapters.js';
import {parseAddress} from './parse-address.js';

/** Time for which changes of the member list are batched, in milliseconds; a fleet that starts together causes many. */
const RECONCILE_DELAY_MS = 100;

/** Interval of housekeeping, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/** A gateway process: creates, starts and stops all of its components. */
export class GatewayProcess {
  private readonly configuration: LatestConfiguration;
  private readonly directory: InstanceDirectory;
  private readonly directoryUpkeep: DirectoryUpkeep;
  private readonly members: MemberList;
  private readonly groups: GroupRegistry;
  private readonly ownership: GroupOwnership;
  private readonly forwarding: ForwardingService;
  private readonly storeWatchers: StoreWatchers;
  private readonly relayClient: StoreRelayClient;
  private readonly viewLease: ViewLeaseTask;
  private readonly member: MemberRegistrationTask;
  private readonly primaryHealthCheckTask: PrimaryHealthCheckTask;
  private readonly viewVerificationTask: ViewVerificationTask;
  private readonly coordinator: CoordinatorTask;
  private readonly incarnation = randomUUID();
  private readonly metrics = new GatewayMetrics();
  private housekeepingTimer: NodeJS.Timeout | undefined;
  private isStopping = false;
  private answersByMs = Infinity;

  constructor(
    private readonly settings: RunningSettings,
    private readonly adapters: GatewayAdapters,
    private readonly logFor: LoggerFactory,
  ) {
    const {store, connector, promotions} = adapters;
    const {name, availabilityZone, listen} = settings.current;
    const {region, regionOf} = this;
    const failoverLog = logFor(LogPart.Failover);
    const generation = (): number => store.generation;
    const knownProxies = new KnownProxies(generation);
    this.configuration = new LatestConfiguration(logFor(LogPart.Configuration));
    this.directory = new InstanceDirectory(logFor(LogPart.Upstream));
    this.directoryUpkeep = new DirectoryUpkeep(
      this.directory,
      () => this.storeWatchers,
      () => settings.current.leaveWithinMs,
    );
    this.members = new MemberList(logFor(LogPart.Membership));
    this.ownership = new GroupOwnership({
      self: name,
      members: this.members,
      directory: this.directory,
      configuration: this.configuration,
      regionOf,
      hasEarlierProxies: () => knownProxies.hasEarlierProxies,
      log: logFor(LogPart.Membership),
    });
    this.groups = new GroupRegistry({
      self: name,
      configuration: this.configuration,
      directory: this.directory,
      connector,
      ownership: this.ownership,
      usePolicy: this.directoryUpkeep.usePolicy,
      zoneOf: member => this.members.find(member)?.availabilityZone,
      earlierProxies: () => knownProxies.earlierProxies(name),
      isInOwnRegion: zone => this.regionOf(zone) === this.region,
      log: logFor(LogPart.Pool),
    });
    const key = new CoordinatorKey(generation);
    const externalListeners = adapters.createStoreListeners(
      this.configuration,
      this.directory,
    );
    const releases = new PrimaryReleases(
      name,
      store,
      () => this.viewLease.leaseId,
      failoverLog,
    );
    this.storeWatchers = new StoreWatchers({
      store,
      proxyKeyListeners: [
        this.members,
        releases,
        knownProxies,
        key,
        new PrimaryRecords(this.groups, generation, failoverLog),
      ],
      externalListeners,
      configurationWithinMs: () => settings.current.configurationWithinMs,
      leaveWithinMs: () => settings.current.leaveWithinMs,
      isCoordinator: () => this.coordinator.mayCoordinate,
      ownsAnyGroup: () => this.ownership.ownsAny,
      isRelayUsed: () => this.relayClient.isActive,
      onProxyKeysConfirmed: sentAt => {
        this.viewLease.onRecordsRead(sentAt);
        // Other proxies do not wait for the views of a proxy that was not listed when the read was sent.
        const isKnown =
          this.viewLease.wasPublishedBefore(sentAt) ||
          (store.restoresSeen === 0 &&
            knownProxies.earlierProxies(name).length > 0);
        if (isKnown) this.groups.confirmAllRecords(sentAt);
      },
      onDirectoryConfirmed: sentAt => this.directory.confirm(sentAt),
      log: logFor(LogPart.Store),
    });
    this.forwarding = new ForwardingService({
      identity: {
        process: name,
        boot: this.incarnation,
        zone: availabilityZone,
      },
      region,
      regionOf,
      listen: parseAddress(listen.peers),
      ownership: this.ownership,
      members: this.members,
      configuration: this.configuration,
      primaryZoneOf: group => this.groups.primaryZoneOf(group),
      localRunner: createExecutor({
        settings,
        configuration: this.configuration,
        directoryUpkeep: this.directoryUpkeep,
        forwarding: () => this.forwarding,
        groups: this.groups,
        region,
        regionOf,
        metrics: this.metrics,
        log: logFor(LogPart.Routing),
      }),
      relayServer: this.storeWatchers.relayServer,
      instanceListOf: name => this.directoryUpkeep.viewOf(name, this.groups),
      answersByMs: () => this.answersByMs,
      log: logFor(LogPart.Routing),
    });
    this.relayClient = new StoreRelayClient({
      store,
      canUseRelay: () =>
        !this.ownership.ownsAny &&
        // Changes of primary wait until it releases what the records say.
        !this.viewLease.isPublished &&
        !this.isStopping &&
        !this.coordinator.mayCoordinate,
      configurationWithinMs: () => settings.current.configurationWithinMs,
      sendRequest: request => this.forwarding.requestRelay(request),
      changeSource: () => this.forwarding.changeRelayOwner(),
      onFallBack: () => this.storeWatchers.refreshConfiguration(),
      listeners: {
        members: this.members,
        configuration: externalListeners.configuration,
      },
      log: logFor(LogPart.Membership),
    });
    this.member = new MemberRegistrationTask({
      name,
      incarnation: this.incarnation,
      availabilityZone,
      peerAddress: () => this.forwarding.peerAddress,
      capacity: () => vmCapacity(settings.current.capacity),
      ownsAny: () => this.ownership.ownsAny,
      onPublished: () => this.storeWatchers.proxyKeys.refresh(),
      store,
      members: this.members,
      log: logFor(LogPart.Membership),
    });
    followAllGroups(releases, this.groups);
    recoverKnownProxies({
      store,
      knownProxies,
      isFollowing: () => !this.relayClient.isActive,
      isUpToDate: () => this.storeWatchers.isConnected,
      log: logFor(LogPart.Membership),
    });
    this.primaryHealthCheckTask = new PrimaryHealthCheckTask(
      this.groups,
      this.member,
      failoverLog,
    );
    this.viewVerificationTask = new ViewVerificationTask(
      this.groups,
      region,
      regionOf,
      failoverLog,
    );
    this.viewLease = new ViewLeaseTask({
      name,
      store,
      keyRevision: () => knownProxies.revisionOf(name),
      proxyCount: () => knownProxies.names.length,
      log: logFor(LogPart.Membership),
      onRenewed: sentAt => this.extendViews(sentAt),
      onRecordsNeeded: () => this.storeWatchers.proxyKeys.refresh(),
      onDropped: () => void this.coordinator.giveUpRole(),
    });
    const control = new ControlConnections(connector, failoverLog);
    this.coordinator = new CoordinatorTask({
      context: {
        self: name,
        store,
        groups: this.groups,
        directory: this.directory,
        usePolicy: this.directoryUpkeep.usePolicy,
        configuration: this.configuration,
        members: this.members,
        ownersOf: group => this.ownership.ownersOf(group),
        releases,
        knownProxies,
        control,
        ...observeGroups(this.directory, this.groups, control, settings),
        promotions,
        followedRevision: () => this.storeWatchers.proxyKeys.revision,
        metrics: this.metrics,
        log: failoverLog,
      },
      key,
      lease: this.viewLease,
      holder: `${name}/${this.incarnation}`,
      isConnected: () => this.storeWatchers.isConnected,
      isUpToDate: sinceMs => this.storeWatchers.isDirectoryCurrent(sinceMs),
      onRefreshNeeded: () => this.storeWatchers.refreshDirectory(),
    });
    this.members.changes$
      .pipe(auditTime(RECONCILE_DELAY_MS))
      .subscribe(() => this.reconcile());
    this.ownership.acquired$.subscribe(() =>
      this.directoryUpkeep.refreshIfOld(),
    );
    settings.changes$.subscribe(({maximumCallers}) =>
      adapters.callerServer.limit(maximumCallers),
    );
  }

  /** Returns the region of an availability zone. */
  private get regionOf(): (zone: string) => string {
    return findRegion.bind(undefined, this.settings.current.regions);
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
    // A proxy that is cut off from all owners would refuse its callers' statements.
    const canForward = (name: string): boolean =>
      this.forwarding.hasReachableOwner(name);
    return isConnected || [...current.groups.keys()].some(canForward);
  }

  /** Applies the ownership of groups to connections and view leases; only owners have views. */
  private reconcile(): void {
    // A stopping proxy frees connections for the proxies that take over.
    this.groups.reconcile();
    const isFirst = this.viewLease.state === TaskState.Created;
    const needsLease = isFirst && this.ownership.ownsAny && !this.isStopping;
    if (needsLease) void this.viewLease.start();
  }

  /** Extends the valid views after a renewal, and reads the records again if one is invalid or could not be verified without the store. */
  private extendViews(sentAt: ClockReading): void {
    this.groups.extendAllViews(sentAt);
    if (this.groups.needsConfirmation) this.storeWatchers.proxyKeys.refresh();
  }

  /** Starts all components. Callers are accepted immediately; readiness is reported to the balancer. */
  async start(): Promise<void> {
    const {availabilityZone, name} = this.settings.current;
    const log = this.logFor(LogPart.Process);
    const context: SessionContext = {
      configuration: this.configuration,
      runnerFor: group => this.forwarding.runnerFor(group),
      sessionBudget: createSessionBudget(this.settings),
      canSend: command => this.adapters.connector.canSend(command),
      answersByMs: () => this.answersByMs,
      metrics: this.metrics,
      log: this.logFor(LogPart.Routing),
    };
    await this.adapters.readinessServer.listen(() => this.isReady);
    await this.serveMetrics();
    await this.forwarding.start();
    await this.adapters.callerServer.listen(
      database => new CallerSession(context, database),
    );
    await this.storeWatchers.start();
    await this.relayClient.start();
    await this.member.start();
    await this.primaryHealthCheckTask.start();
    await this.viewVerificationTask.start();
    await this.coordinator.start();
    this.housekeepingTimer = setInterval(() => {
      this.directoryUpkeep.removeMissing(this.coordinator.isCoordinator);
      this.reconcile();
    }, HOUSEKEEPING_INTERVAL_MS);
    log.info('The process started.', {name, zone: availabilityZone});
  }

  private async serveMetrics(): Promise<void> {
    registerGatewayGauges(this.metrics, {
      groups: this.groups,
      configuration: this.configuration,
      directory: this.directory,
      isReady: () => this.isReady,
      storeGeneration: () => this.adapters.store.generation,
      isStoreReachable: () => this.storeWatchers.proxyKeys.isStoreReachable,
      sessions: () => this.adapters.callerServer.openConnections,
      members: () => this.members.names.length,
      openLinks: () => this.forwarding.openLinkCount,
    });
    await this.adapters.metricsServer?.listen(() => this.metrics.render());
  }

  /** Stops gracefully: open statements and transactions may finish within the grace period. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const beganAtMs = performance.now();
    const log = this.logFor(LogPart.Process);
    const connections = this.adapters.callerServer.openConnections;
    log.info('The process is stopping.', {connections});
    const schedule = scheduleDrain(this.settings.current.stopGraceS * 1_000);
    this.answersByMs = beganAtMs + schedule.answersByMs;
    this.ownership.freeze();
    await drainCallers({
      callerServer: this.adapters.callerServer,
      forwarding: this.forwarding,
      deregister: () =>
        Promise.all([this.coordinator.stop(0), this.member.stop(0)]),
      beganAtMs,
      schedule,
      log,
    });
    await this.shutDown();
    const tookMs = Math.round(performance.now() - beganAtMs);
    log.info('The process stopped.', {tookMs});
  }

  private async shutDown(): Promise<void> {
    clearInterval(this.housekeepingTimer);
    await this.adapters.callerServer.close();
    await this.primaryHealthCheckTask.stop(0);
    await this.viewVerificationTask.stop(0);
    await this.relayClient.stop(0);
    await this.storeWatchers.stop();
    await withTimeout(this.viewLease.stop(0), DEREGISTRATION_TIMEOUT_MS);
    await this.forwarding.stop();
    await this.adapters.readinessServer.close();
    await this.adapters.metricsServer?.close();
  }
}
