import type {ReadConsistency} from '@sapphireglade/decisions';

/** How statements for one database are served. */
export interface Route {
  /** Name of the database, as callers give it. */
  readonly database: string;
  /** Group of instances that serves the database. */
  readonly group: string;
  /** Consistency of its reads. */
  readonly consistency: ReadConsistency;
  /**
   * Maximum staleness of its reads, in milliseconds; 0 if every acknowledged
   * commit must be visible.
   */
  readonly maximumStalenessMs: number;
  /** Time limit of one statement, in milliseconds. */
  readonly statementTimeoutMs: number;
  /** Latency objective of an operation, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Urgency; 0 is the most urgent. */
  readonly priority: number;
}

/** Configuration of a group. */
export interface GroupConfiguration {
  readonly name: string;
  /**
   * Maximum number of connections that each instance accepts from all proxies
   * together.
   */
  readonly connectionLimit: number;
  /** Whether a commit is acknowledged only after a replica has received it. */
  readonly hasSynchronousReplication: boolean;
}

/** One version of the whole configuration. */
export interface GatewayConfiguration {
  /** Increases with each change, by uneven steps. */
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupConfiguration>;
  /** Maximum time that a transaction may be idle, in milliseconds. */
  readonly transactionIdleTimeoutMs: number;
}
