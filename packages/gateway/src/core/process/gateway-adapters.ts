import type {LatestConfiguration} from '../configuration/index.js';
import type {PromotionService} from '../coordinator/index.js';
import type {InstanceDirectory} from '../directory/index.js';
import type {
  CallerServer,
  MetricsServer,
  ReadinessServer,
} from '../servers/index.js';
import type {CoordinationStore, StorePrefixListener} from '../store/index.js';
import type {InstanceConnector} from '../upstream/index.js';

/** Adapters for the protocols of callers, instances, the store and the platform. */
export interface GatewayAdapters {
  readonly store: CoordinationStore;
  readonly connector: InstanceConnector;
  readonly promotions: PromotionService;
  readonly callerServer: CallerServer;
  readonly readinessServer: ReadinessServer;
  /** Undefined if no address for metrics is configured. */
  readonly metricsServer: MetricsServer | undefined;
  /** Creates the listeners that update the configuration and the directory from the store. */
  readonly createStoreListeners: (
    configuration: LatestConfiguration,
    directory: InstanceDirectory,
  ) => ExternalStoreListeners;
}

/** Listeners for the store keys that are not written by proxies. */
export interface ExternalStoreListeners {
  /** Receives the operators' configuration. */
  readonly configuration: StorePrefixListener;
  /** Receives the registrations of the instances. */
  readonly directory: StorePrefixListener;
}
