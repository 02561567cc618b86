import type {ConfigurationHolder} from '../configuration/index.js';
import type {PromotionService} from '../coordinator/index.js';
import type {InstanceDirectory} from '../directory/index.js';
import type {CallerDoor, MetricsDoor, ReadinessDoor} from '../doors/index.js';
import type {CoordinationStore, StoreSection} from '../store/index.js';
import type {InstanceConnector} from '../upstream/index.js';

/** Everything that depends on what the outside speaks. */
export interface GatewayAdapters {
  readonly store: CoordinationStore;
  readonly connector: InstanceConnector;
  readonly promotions: PromotionService;
  readonly callerDoor: CallerDoor;
  readonly readinessDoor: ReadinessDoor;
  /** Missing where no address for metrics is set. */
  readonly metricsDoor: MetricsDoor | undefined;
  /** Sections that hold the configuration and the directory. */
  readonly sections: (
    configuration: ConfigurationHolder,
    directory: InstanceDirectory,
  ) => AnnouncedSections;
}

/** What others than the proxies announce in the store. */
export interface AnnouncedSections {
  /** Holds the operators' configuration. */
  readonly configuration: StoreSection;
  /** Holds what the instances register of themselves. */
  readonly directory: StoreSection;
}
