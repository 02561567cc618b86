import type {
  GatewayAdapters,
  GatewayConfiguration,
  GatewaySettings,
  SessionFactory,
} from '../../src/index.js';
import type {DrainPhase} from '@sapphireglade/decisions';
import {ReadConsistency} from '@sapphireglade/decisions';
import {createSilentLogger, LogLevel} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  CallerServer,
  GatewayProcess,
  PromotionResult,
  PromotionService,
  ReadinessServer,
  RunningSettings,
  StorePrefixListener,
} from '../../src/index.js';
import type {
  InstanceDirectory,
  Promotion,
  RegisteredInstance,
} from '../../src/index.js';
import {MemoryConnector} from './memory-connector.js';
import {MemoryGroup} from './memory-group.js';
import {MemoryStore, MemoryStoreState} from './memory-store.js';
import {
  StoredDirectoryListener,
  storeRegistration,
} from './stored-directory.js';

/** Prefix of the store keys that hold the configuration. */
export const CONFIGURATION_PREFIX = 'fixed/configuration';

/** Name of the group that the fleet serves. */
export const GROUP = 'ledger';

/** Timeout for a fleet to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 15_000;

/** A caller server without sockets. */
class MemoryCallerServer extends CallerServer {
  override openConnections = 0;
  /** The calls of a stopping proxy, in order. */
  readonly events: string[] = [];
  openSession: SessionFactory | undefined;
  /** Maximum number of callers, as last set while running. */
  limitedTo: number | undefined;

  override listen(openSession: SessionFactory): Promise<void> {
    this.openSession = openSession;
    return Promise.resolve();
  }

  override limit(maximumCallers: number): void {
    this.limitedTo = maximumCallers;
  }

  override enterPhase(phase: DrainPhase): void {
    this.events.push(phase);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** A readiness server without sockets; the test reads `isReady` directly. */
class MemoryReadinessServer extends ReadinessServer {
  isReady: () => boolean = () => false;

  override listen(isReady: () => boolean): Promise<void> {
    this.isReady = isReady;
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** The promotion service of the platform; the promotions of one proxy can be delayed. */
class MemoryPromotions extends PromotionService {
  /** Time until a promotion ordered by this proxy arrives, in milliseconds. */
  delayMs = 1;

  constructor(private readonly group: MemoryGroup) {
    super();
  }

  override async promote(promotion: Promotion): Promise<PromotionResult> {
    await sleep(this.delayMs);
    const isRunning = this.group.promote(
      promotion.instance,
      promotion.fencingToken,
    );
    return isRunning ? PromotionResult.Accepted : PromotionResult.NotRunning;
  }
}

/** A listener that applies a fixed state once and ignores the store. */
class FixedStateListener extends StorePrefixListener {
  constructor(prefix: string, apply: () => void) {
    super(prefix);
    apply();
  }

  override onSnapshot(): void {
    return undefined;
  }

  override onPut(): void {
    return undefined;
  }

  override onDelete(): void {
    return undefined;
  }
}

/** One proxy of the fleet, with the objects through which faults are injected. */
export interface FleetProxy {
  readonly name: string;
  readonly gateway: GatewayProcess;
  readonly settings: RunningSettings;
  readonly callerServer: MemoryCallerServer;
  readonly store: MemoryStore;
  readonly promotions: MemoryPromotions;
  readonly open: SessionFactory;
  readonly isReady: () => boolean;
}

/** How a fleet differs from the default one. */
export interface MemoryFleetOptions {
  /** Name of the group that the fleet serves. */
  readonly group?: string;
  /** Whether the proxies read the directory from the store, instead of being told. */
  readonly hasStoredDirectory?: boolean;
  /** Settings of all proxies that differ from the default ones. */
  readonly settings?: Partial<GatewaySettings>;
}

/** Several gateways in one process in front of one in-memory group. */
export class MemoryFleet {
  readonly store = new MemoryStoreState();
  readonly group: MemoryGroup;
  readonly proxies: FleetProxy[] = [];
  private readonly directories: InstanceDirectory[] = [];
  private readonly leaving = new Set<string>();

  constructor(private readonly options: MemoryFleetOptions = {}) {
    this.group = new MemoryGroup(options.group ?? GROUP, 3);
    if (options.hasStoredDirectory) this.storeRegistrations();
  }

  /** Starts proxies, and waits until all are ready and the primary is recorded. */
  async start(size: number): Promise<void> {
    for (let index = 0; index < size; index += 1) {
      await this.startProxy(`proxy-${index}`);
    }
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    const isFleetReady = (): boolean =>
      this.proxies.every(({isReady}) => isReady()) &&
      [...this.store.items.keys()].some(key => key.includes('/primary/'));
    while (!isFleetReady()) {
      if (performance.now() > deadlineMs)
        throw new Error('The fleet did not become ready in time.');
      await sleep(20);
    }
    // Long enough for every proxy to have watched the members for a while.
    await sleep(1_700);
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    this.group.close();
    this.store.close();
    await Promise.all(this.proxies.map(({gateway}) => gateway.stop()));
  }

  /** Starts a proxy. */
  async startProxy(name: string): Promise<void> {
    const groups = new Map([[this.group.name, this.group]]);
    const callerServer = new MemoryCallerServer();
    const readiness = new MemoryReadinessServer();
    const store = new MemoryStore(this.store);
    const promotions = new MemoryPromotions(this.group);
    const adapters: GatewayAdapters = {
      store,
      connector: new MemoryConnector(name, groups),
      promotions,
      callerServer,
      readinessServer: readiness,
      metricsServer: undefined,
      createStoreListeners: (configuration, directory) => ({
        configuration: new FixedStateListener(CONFIGURATION_PREFIX, () =>
          configuration.applyIfNewer(configurationOf(this.group.name)),
        ),
        directory: this.options.hasStoredDirectory
          ? new StoredDirectoryListener(directory)
          : new FixedStateListener('fixed/directory', () => {
              this.directories.push(directory);
              this.register(directory);
            }),
      }),
    };
    const settings = new RunningSettings({
      ...settingsOf(name),
      ...this.options.settings,
    });
    const gateway = new GatewayProcess(settings, adapters, () =>
      createSilentLogger(),
    );
    await gateway.start();
    const open = callerServer.openSession;
    if (open === undefined)
      throw new Error('The gateway did not open its caller server.');
    const {isReady} = readiness;
    this.proxies.push({
      name,
      gateway,
      settings,
      callerServer,
      store,
      promotions,
      open,
      isReady,
    });
  }

  /** Registers that an instance is about to leave. */
  announceLeaving(id: string): void {
    this.leaving.add(id);
    for (const directory of this.directories) this.register(directory);
    if (this.options.hasStoredDirectory) this.storeRegistrations();
  }

  private storeRegistrations(): void {
    for (const each of this.registrations())
      storeRegistration(this.store, each);
  }

  private register(directory: InstanceDirectory): void {
    for (const each of this.registrations()) directory.register(each);
  }

  private registrations(): RegisteredInstance[] {
    return this.group.instances.map(({id}, index) => ({
      id,
      group: this.group.name,
      host: 'memory',
      port: 1,
      availabilityZone: `zone-${index}`,
      isLeaving: this.leaving.has(id),
      claimsPrimary: index === 0,
      slots: 3,
      bornAtMs: 1,
    }));
  }
}

/** Returns a configuration with one database for each read consistency. */
function configurationOf(group: string): GatewayConfiguration {
  const routes = [
    {consistency: ReadConsistency.Primary, maximumStalenessMs: 0},
    {consistency: ReadConsistency.BoundedStaleness, maximumStalenessMs: 700},
    {consistency: ReadConsistency.ReadYourWrites, maximumStalenessMs: 900},
  ].map(row => ({
    ...row,
    group,
    database: row.consistency,
    statementTimeoutMs: 1_000,
    targetLatencyMs: 800,
    priority: 1,
  }));
  const settings = {
    name: group,
    connectionLimit: 60,
    hasSynchronousReplication: true,
  };
  return {
    version: 1,
    routes: new Map(routes.map(route => [route.database, route])),
    groups: new Map([[group, settings]]),
    transactionIdleTimeoutMs: 3_000,
  };
}

/** Returns the settings of a proxy of the fleet. */
export function settingsOf(name: string): GatewaySettings {
  return {
    name,
    availabilityZone: 'zone-0',
    regions: {'zone-0': 'east', 'zone-1': 'east', 'zone-2': 'east'},
    listen: {
      callers: 'memory:1',
      readiness: 'memory:2',
      peers: '127.0.0.1:0',
    },
    capacity: {
      processorShare: 1,
      processorCores: 1,
      linkMbps: 1_000,
      memoryMb: 500,
    },
    store: {address: 'memory:3'},
    promotion: {address: 'memory:4'},
    configurationWithinMs: 3_000,
    leaveWithinMs: 7_000,
    instanceReturnWithinMs: 7_200_000,
    maximumCallers: 100,
    stopGraceS: 0.1,
    logLevel: LogLevel.Error,
  };
}
