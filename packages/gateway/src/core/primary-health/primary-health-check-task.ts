import {
  canAnotherPrimaryCommit,
  PrimaryPhase,
  PrimarySuspicion,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import type {
  DatabaseGroup,
  GroupMember,
  GroupRegistry,
} from '../groups/index.js';
import type {
  MemberRegistrationTask,
  SuspectedPrimary,
} from '../membership/index.js';
import type {InstancePool} from '../pool/index.js';
import {steadyNowMs} from '../time/index.js';
import {CommandKind, ConnectionLostError} from '../upstream/index.js';

/** Interval between two checks of the primaries, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * Age of the newest position after which the primary is pinged, in
 * milliseconds.
 */
const PING_AFTER_MS = 300;

/** How long a primary may be unreachable before it is suspected, in milliseconds. */
const UNREACHABLE_LIMIT_MS = 200;

/**
 * How long a response of a primary may be outstanding before it is suspected,
 * in milliseconds.
 */
const UNRESPONSIVE_LIMIT_MS = 500;

/**
 * Checks the primaries of the owned groups, pings idle ones for their position,
 * and publishes suspicions.
 */
export class PrimaryHealthCheckTask extends SupervisedTask {
  private timer: NodeJS.Timeout | undefined;
  private suspected = new Set<string>();
  private readonly suspicions = new Map<string, PrimarySuspicion>();
  private readonly pinging = new Set<InstancePool>();

  constructor(
    private readonly groups: GroupRegistry,
    private readonly member: MemberRegistrationTask,
    private readonly log: Logger,
  ) {
    super('primary-health-check');
  }

  protected override onStart(): Promise<void> {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    return Promise.resolve();
  }

  protected override onStop(): Promise<void> {
    clearInterval(this.timer);
    return Promise.resolve();
  }

  private check(): void {
    const suspects: SuspectedPrimary[] = [];
    const unobserved: string[] = [];
    for (const group of this.groups.owned) {
      const pool = primaryPool(group);
      for (const member of group.members.values()) {
        member.pool.rejectExpired();
        member.pool.maintain();
        if (member.pool !== pool) this.pingIfBehind(member);
      }
      if (pool === undefined) continue;
      if (pool.connectionShare === 0) {
        unobserved.push(group.name);
        this.suspicions.delete(group.name);
        continue;
      }
      const reason = this.suspect(group, pool);
      if (reason !== undefined) {
        suspects.push({
          group: group.name,
          term: group.record?.record.term ?? 0,
        });
        this.logNewSuspicion(group, pool, reason);
      }
      this.pingIfIdle(group, pool);
    }
    this.suspected = new Set(suspects.map(({group}) => group));
    this.member.publishSuspects(
      suspects.sort((left, right) => (left.group < right.group ? -1 : 1)),
      unobserved.sort(),
    );
  }

  /** Returns why the primary of a group is suspected, if it is. */
  private suspect(
    group: DatabaseGroup,
    pool: InstancePool,
  ): string | undefined {
    const suspicion = this.suspicions.get(group.name) ?? new PrimarySuspicion();
    this.suspicions.set(group.name, suspicion);
    const nowMs = steadyNowMs();
    return suspicion.update(
      {
        primary: pool.endpoint.id,
        problem: findProblem(group, pool, nowMs),
        lastAnsweredAtMs: pool.lastAnsweredAtMs,
      },
      nowMs,
    );
  }

  private logNewSuspicion(
    group: DatabaseGroup,
    pool: InstancePool,
    reason: string,
  ): void {
    if (this.suspected.has(group.name)) return;
    this.log.warn('A primary is suspected.', {
      group: group.name,
      instance: pool.endpoint.id,
      reason,
    });
  }

  /** Pings a primary whose position is not kept up to date by traffic. */
  private pingIfIdle(group: DatabaseGroup, pool: InstancePool): void {
    const newestMs = group.positions.newest?.sentAtMs ?? -Infinity;
    const isFresh = steadyNowMs() - newestMs < PING_AFTER_MS;
    if (isFresh || this.pinging.has(pool)) return;
    void this.ping(pool);
  }

  /**
   * Pings a replica that is too far behind to serve reads, so that it is used
   * again once it has caught up.
   */
  private pingIfBehind({pool, lag}: GroupMember): void {
    const isAvoided = lag.currentMs > PING_AFTER_MS;
    const isFresh = steadyNowMs() - lag.lastRecordedAtMs < PING_AFTER_MS;
    if (!isAvoided || isFresh || this.pinging.has(pool)) return;
    void this.ping(pool);
  }

  private async ping(pool: InstancePool): Promise<void> {
    const connection = pool.tryAcquire();
    if (connection === undefined) return;
    this.pinging.add(pool);
    try {
      await connection.run({kind: CommandKind.Ping});
      pool.release(connection);
    } catch (error) {
      if (!(error instanceof ConnectionLostError)) throw error;
      // The pool has logged the loss and replaces the connection.
      pool.discard(connection, 'it was lost');
    } finally {
      this.pinging.delete(pool);
    }
  }
}

/** Returns the pool of the recorded primary, if the group has one. */
function primaryPool(group: DatabaseGroup): InstancePool | undefined {
  const record = group.record?.record;
  if (record === undefined || record.phase !== PrimaryPhase.Steady) {
    return undefined;
  }
  return group.members.get(record.primary)?.pool;
}

/** Returns why a primary cannot be used at present, or undefined if nothing speaks against it. */
function findProblem(
  group: DatabaseGroup,
  pool: InstancePool,
  nowMs: number,
): string | undefined {
  const {unreachableSinceMs, unresponsiveSinceMs, commitsStalledSinceMs} = pool;
  if (hasExceeded(unreachableSinceMs, nowMs, UNREACHABLE_LIMIT_MS)) {
    return 'it is unreachable';
  }
  if (hasExceeded(unresponsiveSinceMs, nowMs, UNRESPONSIVE_LIMIT_MS))
    return 'it does not respond';
  const {refusedAsPrimary} = pool;
  const isReplica =
    refusedAsPrimary?.revision === group.record?.revision &&
    hasExceeded(refusedAsPrimary?.sinceMs, nowMs, UNRESPONSIVE_LIMIT_MS);
  if (isReplica) return 'it is a replica';
  const areCommitsStalled = hasExceeded(
    commitsStalledSinceMs,
    nowMs,
    UNRESPONSIVE_LIMIT_MS,
  );
  const others = countRespondingInstances(group, pool, nowMs);
  if (areCommitsStalled && canAnotherPrimaryCommit(others)) {
    return 'no commit is acknowledged';
  }
  return undefined;
}

/** Returns how many instances of the group respond and stay, without the primary; a leaving one confirms no commits. */
function countRespondingInstances(
  {members}: DatabaseGroup,
  primary: InstancePool,
  nowMs: number,
): number {
  return [...members.values()].filter(
    ({instance, pool}) =>
      pool !== primary &&
      !instance.isLeaving &&
      pool.canBeReached &&
      !hasExceeded(pool.unresponsiveSinceMs, nowMs, UNRESPONSIVE_LIMIT_MS),
  ).length;
}

function hasExceeded(
  sinceMs: number | undefined,
  nowMs: number,
  limitMs: number,
): boolean {
  return sinceMs !== undefined && nowMs - sinceMs > limitMs;
}
