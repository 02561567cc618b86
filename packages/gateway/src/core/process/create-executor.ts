import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {ForwardingService} from '../forwarding/index.js';
import type {GroupRegistry} from '../groups/index.js';
import {CommitBoundProbe} from '../groups/index.js';
import type {GatewayMetrics} from '../metrics/index.js';
import {LateUseLog, StatementExecutor} from '../sessions/index.js';
import type {RunningSettings} from '../settings/index.js';
import type {DirectoryUpkeep} from './directory-upkeep.js';

/** Components of the process on which the executor depends. */
export interface ExecutorDependencies {
  readonly settings: RunningSettings;
  readonly configuration: LatestConfiguration;
  readonly directoryUpkeep: DirectoryUpkeep;
  readonly groups: GroupRegistry;
  /** Region of this VM. */
  readonly region: string;
  /** Returns the region of an availability zone. */
  readonly regionOf: (zone: string) => string;
  /** Returns the service that reaches the other owners of a group. */
  readonly forwarding: () => ForwardingService;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

/** Creates the runner for statements on connections of this process. */
export function createExecutor({
  settings,
  configuration,
  directoryUpkeep,
  forwarding,
  log,
  ...context
}: ExecutorDependencies): StatementExecutor {
  const {directory} = directoryUpkeep;
  const leaveWithinMs = (): number => settings.current.leaveWithinMs;
  return new StatementExecutor({
    ...context,
    lateUseLog: new LateUseLog(directory, leaveWithinMs, log),
    commitBoundProbe: new CommitBoundProbe({
      configuration,
      directory,
      isStoreReachable: () => directoryUpkeep.canConfirm,
      requestInstanceLists: (group, timeoutMs) =>
        forwarding().requestInstanceLists(group, timeoutMs),
      refreshDirectory: maximumAgeMs =>
        directoryUpkeep.refreshIfOlderThan(maximumAgeMs),
      log,
    }),
    log,
  });
}
