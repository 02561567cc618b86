import type {SessionBudget} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {CommitBoundProbe, GroupRegistry} from '../groups/index.js';
import type {GatewayMetrics} from '../metrics/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import type {LateUseLog} from './late-use-log.js';
import type {StatementRunner} from './statement-runner.js';

/** Dependencies for running statements on connections of this proxy. */
export interface ExecutionContext {
  readonly groups: GroupRegistry;
  readonly commitBoundProbe: CommitBoundProbe;
  readonly lateUseLog: LateUseLog;
  /** Region of this VM. */
  readonly region: string;
  /** Returns the region of an availability zone. */
  readonly regionOf: (zone: string) => string;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

/** Dependencies shared by all sessions of a process. */
export interface SessionContext {
  readonly configuration: LatestConfiguration;
  /** Returns the runner for the statements of a group. */
  readonly runnerFor: (group: string) => StatementRunner;
  /** Counts what all sessions hold. */
  readonly sessionBudget: SessionBudget;
  /** Returns whether the protocol of the instances can express a command. */
  readonly canSend: (command: InstanceCommand) => boolean;
  /**
   * Returns the time by which a stopping process answers every statement, in
   * milliseconds of the steady clock; Infinity while it is not stopping.
   */
  readonly answersByMs: () => number;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}
