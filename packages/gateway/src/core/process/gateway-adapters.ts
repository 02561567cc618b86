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

/** Everything that depends on what the outside speaks. */
export interface GatewayAdapters {
  readonly store: CoordinationStore;
  readonly connector: InstanceConnector;
  readonly promotions: PromotionService;
  readonly callerServer: CallerServer;
  readonly readinessServer: ReadinessServer;
  /** Missing where no address for metrics is set. */
  readonly metricsServer: MetricsServer | undefined;
  /** Sections that hold the configuration and the directory. */
  readonly createStoreListeners: (
    configuration: LatestConfiguration,
    directory: InstanceDirectory,
  ) => ExternalStoreListeners;
}

/** What others than the proxies announce in the store. */
export interface ExternalStoreListeners {
  /** Holds the operators' configuration. */
  readonly configuration: StorePrefixListener;
  /** Holds what the instances register of themselves. */
  readonly directory: StorePrefixListener;
}
