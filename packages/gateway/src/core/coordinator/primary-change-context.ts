import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {InstanceDirectory, InstanceUsePolicy} from '../directory/index.js';
import type {GroupRegistry} from '../groups/index.js';
import type {GatewayMetrics} from '../metrics/index.js';
import type {KnownProxies, MemberList} from '../membership/index.js';
import type {PrimaryReleases} from '../primary-health/index.js';
import type {CoordinationStore} from '../store/index.js';
import type {ControlConnections} from './control-connections.js';
import type {GroupDepartures} from './group-departures.js';
import type {OrderHistory} from './order-history.js';
import type {OutstandingOrders} from './outstanding-orders.js';
import type {PromotionService} from './promotion-service.js';

/** Dependencies of a primary change. */
export interface PrimaryChangeContext {
  readonly self: string;
  readonly store: CoordinationStore;
  readonly groups: GroupRegistry;
  readonly directory: InstanceDirectory;
  /** Decides whether an instance receives statements. */
  readonly usePolicy: InstanceUsePolicy;
  readonly configuration: LatestConfiguration;
  readonly members: MemberList;
  readonly knownProxies: KnownProxies;
  /** Returns the names of the proxies that own a group's connections. */
  readonly ownersOf: (group: string) => readonly string[];
  readonly releases: PrimaryReleases;
  readonly control: ControlConnections;
  /** Instances that left during the current terms. */
  readonly departures: GroupDepartures;
  readonly promotions: PromotionService;
  /** Orders that the records leave without a result. */
  readonly outstandingOrders: OutstandingOrders;
  /** Orders of the past minute, for the log. */
  readonly orderHistory: OrderHistory;
  /**
   * Returns the revision at which this proxy became the coordinator; 0 if it is
   * not the coordinator.
   */
  readonly coordinatorRevision: () => number;
  /**
   * Returns how long this proxy has known that it is the coordinator, in
   * milliseconds; undefined if it is not.
   */
  readonly coordinatorForMs: () => number | undefined;
  /**
   * Returns the revision up to which the keys written by proxies are in sync.
   */
  readonly followedRevision: () => number;
  /**
   * Returns whether the store responds and the directory is in sync by a response
   * that was requested after a time of the steady clock, in milliseconds. Before a
   * proxy is the coordinator, it does not follow the directory that closely.
   */
  readonly isDirectoryCurrent: (sinceMs: number) => boolean;
  /** Reads the directory now. */
  readonly refreshDirectory: () => void;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}
