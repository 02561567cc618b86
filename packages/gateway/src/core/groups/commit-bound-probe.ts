import {findCommitUpperBound, formatPosition} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import {steadyNowMs, withTimeout} from '../time/index.js';
import {fetchReplicationReport} from './fetch-replication-report.js';
import type {DatabaseGroup} from './database-group.js';

/**
 * Minimum interval between two probes of a group, in milliseconds; a busy
 * instance takes about as long to respond.
 */
const MINIMUM_INTERVAL_MS = 100;

/**
 * Maximum time a request waits for a probe, in milliseconds; two round trips
 * between regions.
 */
const MAXIMUM_WAIT_MS = 200;

/**
 * Time after a probe without result in which requests do not wait for another
 * one, in milliseconds.
 */
const FAILURE_COOLDOWN_MS = 1_000;

/**
 * Determines, by querying all replicas, a position that includes every
 * acknowledged commit, so that reads can continue while the primary cannot be
 * queried.
 */
export class CommitBoundProbe {
  private readonly running = new Map<DatabaseGroup, Promise<void>>();
  private readonly beganAtMs = new Map<DatabaseGroup, number>();
  private readonly failedAtMs = new Map<DatabaseGroup, number>();

  /**
   * @param configuration - States whether commits wait for a replica.
   * @param log - Logs the result of each probe.
   */
  constructor(
    private readonly configuration: LatestConfiguration,
    private readonly log: Logger,
  ) {}

  /**
   * Queries the replicas of a group, unless that was done within the minimum
   * interval; concurrent requests share one probe. Resolves immediately if the
   * last probe has just failed, because the next one will probably fail as
   * well.
   */
  async refresh(group: DatabaseGroup): Promise<void> {
    const running = this.running.get(group) ?? this.begin(group);
    const failedAtMs = this.failedAtMs.get(group) ?? -Infinity;
    const hasRecentlyFailed = steadyNowMs() - failedAtMs < FAILURE_COOLDOWN_MS;
    if (running !== undefined && !hasRecentlyFailed)
      await withTimeout(running, MAXIMUM_WAIT_MS);
  }

  private begin(group: DatabaseGroup): Promise<void> | undefined {
    const nowMs = steadyNowMs();
    const lastBeganAtMs = this.beganAtMs.get(group) ?? -Infinity;
    if (nowMs - lastBeganAtMs < MINIMUM_INTERVAL_MS) return undefined;
    this.beganAtMs.set(group, nowMs);
    const probe = this.survey(group).finally(() => this.running.delete(group));
    this.running.set(group, probe);
    return probe;
  }

  private async survey(group: DatabaseGroup): Promise<void> {
    const sentAtMs = steadyNowMs();
    const {replicas, absent} = group.possibleCommitHolders(sentAtMs);
    const reports = await Promise.all(
      replicas.map(({pool}) => fetchReplicationReport(pool)),
    );
    const received = reports.flatMap(report => report?.received ?? []);
    const missing = absent + replicas.length - received.length;
    const {current} = this.configuration;
    const isReplicated =
      current?.groups.get(group.name)?.hasSynchronousReplication === true;
    const bound = findCommitUpperBound({
      received,
      missing,
      hasSynchronousReplication: isReplicated,
    });
    if (bound !== undefined) group.observeCommitBound(sentAtMs, bound);
    else this.failedAtMs.set(group, steadyNowMs());
    this.log.info(
      'The replicas were queried for the upper bound of acknowledged commits.',
      {
        group: group.name,
        answers: received.length,
        missing,
        position: bound && formatPosition(bound),
      },
    );
  }
}
