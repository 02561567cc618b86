import type {
  ConfigurationSnapshot,
  PlacementNode,
} from '@sapphireglade/decisions';
import type {ProcessIdentity} from '@sapphireglade/protocol';
import type {LoggerFactory, HybridLogicalClock} from '@sapphireglade/runtime';
import type {BehaviorSubject} from 'rxjs';
import type {GroupViews} from '../groups/index.js';
import type {MetricsRegistry} from '../metrics/index.js';
import type {InstanceObservations} from '../observations/index.js';
import type {ProxySettings} from '../settings/index.js';
import type {EventRecorder} from '../timeline/index.js';

/** An entry VM that can be reached. */
export interface MemberNode extends PlacementNode {
  /** IP address. */
  readonly address: string;
  /** Region of its zone. */
  readonly region: string;
  /** Whether it is about to leave and takes nothing new. */
  readonly isLeaving: boolean;
}

/** What every task of the proxy may use. */
export interface ProxyContext {
  readonly settings: ProxySettings;
  /** Who this process is on links. */
  readonly identity: ProcessIdentity;
  readonly clock: HybridLogicalClock;
  readonly logs: LoggerFactory;
  readonly events: EventRecorder;
  readonly metrics: MetricsRegistry;
  /** The configuration in force here. */
  readonly configuration: BehaviorSubject<ConfigurationSnapshot>;
  /** The entry VMs, this one included. */
  readonly members: BehaviorSubject<readonly MemberNode[]>;
  /** Who leads each group. */
  readonly groupViews: GroupViews;
  /** What probes showed of the owned instances. */
  readonly observations: InstanceObservations;
}
