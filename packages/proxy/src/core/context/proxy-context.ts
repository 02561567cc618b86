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

/** A reachable entry VM. */
export interface MemberNode extends PlacementNode {
  /** IP address. */
  readonly address: string;
  /** Region of its zone. */
  readonly region: string;
  /** Whether it is leaving and accepts no new work. */
  readonly isLeaving: boolean;
}

/** The context shared by all tasks of the proxy. */
export interface ProxyContext {
  readonly settings: ProxySettings;
  /** Identity of this process on links. */
  readonly identity: ProcessIdentity;
  readonly clock: HybridLogicalClock;
  readonly logs: LoggerFactory;
  readonly events: EventRecorder;
  readonly metrics: MetricsRegistry;
  /** Current configuration of this proxy. */
  readonly configuration: BehaviorSubject<ConfigurationSnapshot>;
  /** The entry VMs, this one included. */
  readonly members: BehaviorSubject<readonly MemberNode[]>;
  /** Cached primary and term of each group. */
  readonly groupViews: GroupViews;
  /** Latest probe results of instances. */
  readonly observations: InstanceObservations;
}
