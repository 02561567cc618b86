import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {InstanceDirectory} from '../directory/index.js';
import type {GroupRegistry} from '../groups/index.js';
import {CommitBoundProbe} from '../groups/index.js';
import type {GatewayMetrics} from '../metrics/index.js';
import {LateUseLog, StatementExecutor} from '../sessions/index.js';
import type {RunningSettings} from '../settings/index.js';

/** Components of the process on which the executor depends. */
export interface ExecutorDependencies {
  readonly settings: RunningSettings;
  readonly configuration: LatestConfiguration;
  readonly directory: InstanceDirectory;
  readonly groups: GroupRegistry;
  /** Region of this VM. */
  readonly region: string;
  /** Returns the region of an availability zone. */
  readonly regionOf: (zone: string) => string;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

/** Creates the runner for statements on connections of this process. */
export function createExecutor({
  settings,
  configuration,
  directory,
  log,
  ...context
}: ExecutorDependencies): StatementExecutor {
  const leaveWithinMs = (): number => settings.current.leaveWithinMs;
  return new StatementExecutor({
    ...context,
    lateUseLog: new LateUseLog(directory, leaveWithinMs, log),
    commitBoundProbe: new CommitBoundProbe(configuration, log),
    log,
  });
}
