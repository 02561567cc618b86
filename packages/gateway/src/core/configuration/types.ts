import type {ReadConsistency} from '@sapphireglade/decisions';

/** How statements for one database are served. */
export interface Route {
  /** Name of the database, as callers give it. */
  readonly database: string;
  /** Group of instances that serves it. */
  readonly group: string;
  /** How fresh its reads must be. */
  readonly consistency: ReadConsistency;
  /** How old its reads may be, in milliseconds; 0 where every commit counts. */
  readonly maximumStalenessMs: number;
  /** How long one statement may take, in milliseconds. */
  readonly statementTimeoutMs: number;
  /** Latency objective of an operation, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Urgency; 0 is the most urgent. */
  readonly priority: number;
}

/** What operators have declared of a group. */
export interface GroupConfiguration {
  readonly name: string;
  /** Connections that each instance accepts from all proxies together. */
  readonly connectionLimit: number;
  /** Whether a commit is acknowledged only after a replica has received it. */
  readonly hasSynchronousReplication: boolean;
}

/** The whole configuration in one version. */
export interface GatewayConfiguration {
  /** Rises with each change, in uneven steps. */
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupConfiguration>;
  /** How long a transaction may stay without a statement, in milliseconds. */
  readonly transactionIdleTimeoutMs: number;
}
