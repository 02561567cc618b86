import {findCommitUpperBound, formatPosition} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import {steadyNowMs, withTimeout} from '../time/index.js';
import {fetchReplicationReport} from './fetch-replication-report.js';
import type {DatabaseGroup} from './database-group.js';

/** Shortest time between two surveys of a group, in milliseconds; an answer of a busy instance takes about as long. */
const MINIMUM_INTERVAL_MS = 100;

/** How long a request waits for a survey, in milliseconds; two round trips between regions. */
const MAXIMUM_WAIT_MS = 200;

/** How long after a survey without result requests do not wait for the next one, in milliseconds. */
const FAILURE_COOLDOWN_MS = 1_000;

/**
 * Finds out, by asking all replicas, which position holds everything that was
 * acknowledged, so that reads go on while no primary can be asked.
 */
export class CommitBoundProbe {
  private readonly running = new Map<DatabaseGroup, Promise<void>>();
  private readonly beganAtMs = new Map<DatabaseGroup, number>();
  private readonly failedAtMs = new Map<DatabaseGroup, number>();

  /**
   * @param configuration - Says whether commits wait for a replica.
   * @param log - Receives the result of each survey.
   */
  constructor(
    private readonly configuration: LatestConfiguration,
    private readonly log: Logger,
  ) {}

  /**
   * Asks the replicas of a group, unless that was done a moment ago; requests
   * that come meanwhile share the answers. Resolves at once if the last survey
   * has just failed, because the next one will probably fail as well.
   */
  async refresh(group: DatabaseGroup): Promise<void> {
    const running = this.running.get(group) ?? this.begin(group);
    const failedAtMs = this.failedAtMs.get(group) ?? -Infinity;
    const isDoubtful = steadyNowMs() - failedAtMs < FAILURE_COOLDOWN_MS;
    if (running !== undefined && !isDoubtful)
      await withTimeout(running, MAXIMUM_WAIT_MS);
  }

  private begin(group: DatabaseGroup): Promise<void> | undefined {
    const nowMs = steadyNowMs();
    const lastMs = this.beganAtMs.get(group) ?? -Infinity;
    if (nowMs - lastMs < MINIMUM_INTERVAL_MS) return undefined;
    this.beganAtMs.set(group, nowMs);
    const survey = this.survey(group).finally(() => this.running.delete(group));
    this.running.set(group, survey);
    return survey;
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
    this.log.info('Replicas were asked what has been acknowledged.', {
      group: group.name,
      answers: received.length,
      missing,
      position: bound && formatPosition(bound),
    });
  }
}
