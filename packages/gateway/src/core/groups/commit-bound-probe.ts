import type {
  InstanceListView,
  LogPosition,
  ReplicationReport,
} from '@sapphireglade/decisions';
import {
  findCommitUpperBound,
  formatPosition,
  hasLeftTerm,
  instanceListAge,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {InstanceDirectory} from '../directory/index.js';
import type {InstancePool} from '../pool/index.js';
import {steadyNowMs, wholeMilliseconds, withTimeout} from '../time/index.js';
import {commitsToInclude} from './commits-to-include.js';
import {fetchReplicationReport} from './fetch-replication-report.js';
import type {DatabaseGroup} from './database-group.js';
import type {GroupMember} from './group-member.js';

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
 * Age of the directory above which a probe has it read again, in milliseconds.
 */
const MAXIMUM_DIRECTORY_AGE_MS = 250;

/**
 * Maximum time that a probe waits for the directory, or for other proxies' view of it, in milliseconds; shorter
 * than a request waits for the probe.
 */
const DIRECTORY_WAIT_MS = 150;

/**
 * Time after a probe without result in which requests do not wait for another
 * one, in milliseconds.
 */
const FAILURE_COOLDOWN_MS = 1_000;

/** Dependencies of the probe. */
export interface CommitBoundProbeOptions {
  /** States whether commits wait for a replica. */
  readonly configuration: LatestConfiguration;
  /** Lists the instances that may hold commits. */
  readonly directory: InstanceDirectory;
  /** Returns whether the store answers, so that the directory can be read again. */
  readonly isStoreReachable: () => boolean;
  /** Asks the other owners of a group what they know of its instances, within a time in milliseconds. */
  readonly requestInstanceLists: (
    group: string,
    timeoutMs: number,
  ) => Promise<ReadonlyArray<InstanceListView | undefined>>;
  /** Has the directory read again if it is older than an age, in milliseconds. */
  readonly refreshDirectory: (maximumAgeMs: number) => void;
  /** Logs the result of each probe. */
  readonly log: Logger;
}

/**
 * Determines, by querying all replicas, a position that includes every
 * acknowledged commit, so that reads can continue while the primary cannot be
 * queried.
 */
export class CommitBoundProbe {
  private readonly running = new Map<DatabaseGroup, Promise<void>>();
  private readonly beganAtMs = new Map<DatabaseGroup, number>();
  private readonly failedAtMs = new Map<DatabaseGroup, number>();

  /** @param options - Dependencies of the probe. */
  constructor(private readonly options: CommitBoundProbeOptions) {}

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

  /**
   * Queries the replicas, and records what their answers prove.
   *
   * An instance that registered after the directory was read may have confirmed
   * commits that no instance queried has. The position therefore counts for the
   * time of the directory if that is older than the query. While the store
   * answers no owner of the group, nobody learns of such an instance, and reads go
   * on with the last directory if the position includes what the owners have
   * acknowledged.
   */
  private async survey(group: DatabaseGroup): Promise<void> {
    const {directory, configuration, isStoreReachable, log} = this.options;
    const sentAtMs = steadyNowMs();
    const isCutOff = !isStoreReachable();
    const [reports, views] = await Promise.all([
      fetchReports(group.possibleCommitHolders(sentAtMs).replicas),
      isCutOff
        ? this.options.requestInstanceLists(group.name, DIRECTORY_WAIT_MS)
        : undefined,
      this.readDirectory(sentAtMs),
    ]);
    // Of instances that registered or restarted meanwhile there is no report.
    const {replicas, absent, minimumPosition} =
      group.possibleCommitHolders(steadyNowMs());
    const answers = replicas.flatMap(({pool}) => reports.get(pool) ?? []);
    const missing = absent + replicas.length - answers.length;
    const record = group.record?.record;
    // A log that has left the term has none of its commits.
    const received = answers
      .filter(each => record === undefined || !hasLeftTerm(each, record))
      .map(each => each.received);
    const hasSynchronousReplication =
      configuration.current?.groups.get(group.name)
        ?.hasSynchronousReplication === true;
    const bound = findCommitUpperBound({
      received,
      missing,
      minimumPosition,
      hasSynchronousReplication,
    });
    const listedAtMs =
      views === undefined || bound === undefined
        ? steadyNowMs() - directory.ageMs
        : sentAtMs - this.directoryAge(group, views, bound);
    const provenAtMs = Math.min(sentAtMs, listedAtMs);
    if (bound !== undefined) group.observeCommitBound(provenAtMs, bound);
    else this.failedAtMs.set(group, steadyNowMs());
    log.info(
      'The replicas were queried for the upper bound of acknowledged commits.',
      {
        group: group.name,
        answers: answers.length,
        logsInTerm: received.length,
        missing,
        position: bound && formatPosition(bound),
        directoryAgeMs: wholeMilliseconds(steadyNowMs() - listedAtMs),
        isCutOff,
      },
    );
  }

  /**
   * Returns how old the knowledge is that the directory is complete, without the
   * store, in milliseconds before now.
   */
  private directoryAge(
    group: DatabaseGroup,
    views: ReadonlyArray<InstanceListView | undefined>,
    bound: LogPosition,
  ): number {
    const {directory} = this.options;
    const own = {
      canRead: false,
      ageMs: directory.ageMs,
      instances: directory.findByGroup(group.name),
      acknowledged: commitsToInclude(group),
    };
    return instanceListAge(own, views, bound);
  }

  /** Waits until the directory is recent enough for a query, or a time limit. */
  private async readDirectory(sentAtMs: number): Promise<void> {
    const {directory, isStoreReachable, refreshDirectory} = this.options;
    const isRecent = directory.ageMs <= MAXIMUM_DIRECTORY_AGE_MS;
    if (isRecent || !isStoreReachable()) return;
    const confirmed = directory.awaitConfirmation(sentAtMs, DIRECTORY_WAIT_MS);
    refreshDirectory(MAXIMUM_DIRECTORY_AGE_MS);
    await confirmed;
  }
}

/** Returns the reports of the instances that answer, by their pools. */
async function fetchReports(
  members: readonly GroupMember[],
): Promise<ReadonlyMap<InstancePool, ReplicationReport>> {
  const reports = new Map<InstancePool, ReplicationReport>();
  await Promise.all(
    members.map(async ({pool}) => {
      const report = await fetchReplicationReport(pool);
      if (report !== undefined) reports.set(pool, report);
    }),
  );
  return reports;
}
