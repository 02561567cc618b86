import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {CommitBoundProbe, GroupRegistry} from '../groups/index.js';
import type {GatewayMetrics} from '../metrics/index.js';
import type {StatementRunner} from './statement-runner.js';

/** What statements are run with on connections of this proxy. */
export interface ExecutionContext {
  readonly groups: GroupRegistry;
  readonly surveys: CommitBoundProbe;
  /** Region of this VM. */
  readonly region: string;
  /** Finds the region of an availability zone. */
  readonly regionOf: (zone: string) => string;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

/** What every session of a process shares. */
export interface SessionContext {
  readonly configuration: LatestConfiguration;
  /** Finds what runs the statements for a group. */
  readonly runnerFor: (group: string) => StatementRunner;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}
