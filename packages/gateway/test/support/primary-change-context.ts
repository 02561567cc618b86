import type {Logger} from '@sapphireglade/runtime';
import {createSilentLogger} from '@sapphireglade/runtime';
import type {
  DatabaseGroup,
  PrimaryChangeContext,
  PromotionService,
  RegisteredInstance,
} from '../../src/index.js';
import {
  LatestConfiguration,
  ControlConnections,
  coordinatorKey,
  GatewayMetrics,
  GroupDepartures,
  InstanceDirectory,
  KnownProxies,
  MemberList,
  OrderHistory,
  OutstandingOrders,
  PrimaryReleases,
  RegistrationUsePolicy,
} from '../../src/index.js';
import {MemoryConnector} from './memory-connector.js';
import type {MemoryGroup, MemoryInstance} from './memory-group.js';
import type {MemoryStoreState} from './memory-store.js';
import {MemoryStore} from './memory-store.js';

/** How long an order that is found in a record may still arrive by default, in milliseconds. */
const ORDER_PENDING_MS = 100;

/** How long an instance whose entry has lapsed may return by default, in milliseconds. */
const RETURN_WITHIN_MS = 7_200_000;

/** Options for a context of a primary change. */
export interface PrimaryChangeContextOptions {
  /** Name of the proxy that coordinates. */
  readonly self: string;
  readonly state: MemoryStoreState;
  readonly group: MemoryGroup;
  readonly promotions: PromotionService;
  /** The group as the coordinator knows it, if departures matter. */
  readonly view?: DatabaseGroup;
  /** Returns whether the proxy is still the coordinator. */
  readonly isCoordinating?: () => boolean;
  /** The instances in the directory; by default all of the group. */
  readonly registered?: readonly MemoryInstance[];
  /** How long an order that is found in a record may still arrive, in milliseconds. */
  readonly orderPendingMs?: number;
  /** Returns how long an instance whose entry has lapsed may return, in milliseconds. */
  readonly returnWithinMs?: () => number;
  /** Returns whether the directory was requested after a time, in milliseconds; by default it always was. */
  readonly isDirectoryCurrent?: (sinceMs: number) => boolean;
  /** Receives the log lines; by default nothing does. */
  readonly log?: Logger;
}

/** Returns the registration of an in-memory instance. */
export function registeredInstance(
  id: string,
  group: string,
): RegisteredInstance {
  return {
    id,
    group,
    host: id,
    port: 1,
    availabilityZone: 'zone-0',
    isLeaving: false,
    claimsPrimary: false,
    slots: 3,
    bornAtMs: 1,
  };
}

/** Creates the context of a proxy that coordinates an in-memory group. */
export function createPrimaryChangeContext({
  self,
  state,
  group,
  promotions,
  view,
  isCoordinating = () => true,
  registered = group.instances,
  orderPendingMs = ORDER_PENDING_MS,
  returnWithinMs = () => RETURN_WITHIN_MS,
  isDirectoryCurrent = () => true,
  log = createSilentLogger(),
}: PrimaryChangeContextOptions): PrimaryChangeContext {
  const store = new MemoryStore(state);
  store.observeGeneration(state.generation);
  const directory = new InstanceDirectory(log);
  for (const {id, bornAtMs} of registered) {
    directory.register({...registeredInstance(id, group.name), bornAtMs});
  }
  state.put(coordinatorKey(state.generation), self);
  const {revision} = state;
  const configuration = new LatestConfiguration(log);
  configuration.applyIfNewer({
    version: 1,
    routes: new Map(),
    groups: new Map([
      [
        group.name,
        {
          name: group.name,
          connectionLimit: 60,
          hasSynchronousReplication: true,
        },
      ],
    ]),
    transactionIdleTimeoutMs: 3_000,
  });
  const connector = new MemoryConnector(self, new Map([[group.name, group]]));
  const control = new ControlConnections(connector, log);
  const groups = {
    onGroup: (listener: (group: DatabaseGroup) => void) => {
      if (view !== undefined) listener(view);
    },
  };
  return {
    self,
    store,
    directory,
    usePolicy: new RegistrationUsePolicy(),
    promotions,
    configuration,
    members: new MemberList(log),
    knownProxies: new KnownProxies(() => store.generation),
    releases: new PrimaryReleases(self, store, undefined as never, log),
    control,
    departures: new GroupDepartures(directory, groups, control, returnWithinMs),
    outstandingOrders: new OutstandingOrders(groups, orderPendingMs),
    orderHistory: new OrderHistory(groups),
    coordinatorRevision: () => (isCoordinating() ? revision : 0),
    coordinatorForMs: () => undefined,
    followedRevision: () => state.revision,
    isDirectoryCurrent,
    refreshDirectory: () => undefined,
    metrics: new GatewayMetrics(),
    log,
  } as Partial<PrimaryChangeContext> as PrimaryChangeContext;
}
