import type {ReplicationReport} from '@sapphireglade/decisions';
import {PrimaryPhase, SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {TaskLifecycle} from '@sapphireglade/runtime';
import type {
  DatabaseGroup,
  GroupMember,
  GroupRegistry,
  KnownRecord,
} from '../groups/index.js';
import type {InstancePool, PooledConnection} from '../pool/index.js';
import {readClocks, steadyNow, TIMED_OUT, within} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';

/** How often the age of the views is looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Age of a view after which replicas are asked, in milliseconds; longer than two renewals of the lease for views take. */
const ASK_AFTER_MS = 600;

/** For how long no replica must have been asked before the store counts as back, in milliseconds; twice the time after which they are asked. */
const STORE_BACK_MS = 1_200;

/** Goes before every caller's request. */
const CONTROL_PRIORITY = -1;

/** How long a replica may take to answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;

/**
 * Proves views of primaries by asking replicas while the store is away.
 *
 * Before it promotes an instance, a change of primary holds every replica at a
 * higher term, or ends the old primary's lead itself, and then waits for longer
 * than a view counts. A primary that says it leads, together with a replica that
 * follows it and is not held, therefore prolongs a view that still counts. One
 * that has run out cannot be revived in this way: it may have slept through the
 * whole change, and a replica forgets what held it when it starts again.
 *
 * An instance that leads a higher term and is followed in it is taken as the
 * primary, so that a proxy without the store takes part in a change that others made.
 */
export class ViewProofTask extends TaskLifecycle {
  private timer: NodeJS.Timeout | undefined;
  private readonly asking = new Set<DatabaseGroup>();
  private isReported = false;
  private lastAskedAtMs = -Infinity;

  constructor(
    private readonly groups: GroupRegistry,
    private readonly region: string,
    private readonly regionOf: (zone: string) => string,
    private readonly log: Logger,
  ) {
    super('view-proof');
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
    const now = readClocks();
    for (const group of this.groups.all) {
      if (group.confirmation.ageMs(now) < ASK_AFTER_MS) continue;
      if (group.record === undefined) continue;
      this.lastAskedAtMs = steadyNow();
      if (!this.asking.has(group)) void this.prove(group);
    }
    this.report();
  }

  private report(): void {
    const isAsking = steadyNow() - this.lastAskedAtMs < STORE_BACK_MS;
    if (isAsking === this.isReported) return;
    this.isReported = isAsking;
    this.log.warn(
      isAsking
        ? 'The store does not confirm the primaries; replicas are asked.'
        : 'The store confirms the primaries again.',
    );
  }

  private async prove(group: DatabaseGroup): Promise<void> {
    this.asking.add(group);
    try {
      const sentAt = readClocks();
      const known = group.record;
      if (known === undefined) return;
      const isProven =
        (await this.primaryLeads(group, known)) &&
        (await this.isAnyReplicaFree(group, known));
      if (!isProven) await this.findLeader(group);
      else if (group.record === known) group.prolong(sentAt);
    } finally {
      this.asking.delete(group);
    }
  }

  /** Whether the recorded primary says itself that it leads. */
  private async primaryLeads(
    group: DatabaseGroup,
    {record}: KnownRecord,
  ): Promise<boolean> {
    const primary = group.members.get(record.primary);
    if (record.phase !== PrimaryPhase.Steady || primary === undefined) {
      return false;
    }
    const report = await this.askMember(primary);
    return report?.isPrimary === true && report.term === record.term;
  }

  /** Whether a replica is not held at a higher term, and was not before. */
  private async isAnyReplicaFree(
    group: DatabaseGroup,
    {record}: KnownRecord,
  ): Promise<boolean> {
    for (const member of this.membersOf(group)) {
      if (member.instance.id === record.primary) continue;
      const report = await this.askMember(member);
      if (followsTerm(report, record.term)) return true;
    }
    return false;
  }

  /** Looks for an instance that leads a higher term and is followed in it. */
  private async findLeader(group: DatabaseGroup): Promise<void> {
    const sentAt = readClocks();
    const term = group.record?.record.term ?? Infinity;
    const reports = await Promise.all(
      this.membersOf(group).map(member => this.askMember(member)),
    );
    const leader = reports.find(
      report => report?.isPrimary === true && report.term > term,
    );
    if (leader === undefined) return;
    const isFollowed = reports.some(report => followsTerm(report, leader.term));
    if (!isFollowed) return;
    this.log.info('An instance leads a higher term than is recorded.', {
      group: group.name,
      primary: leader.id,
      term: leader.term,
    });
    group.learnLeader(leader.term, leader.id, sentAt);
  }

  /** Instances of this region first, because the others cost paid bytes. */
  private membersOf(group: DatabaseGroup): GroupMember[] {
    const isFar = ({instance}: GroupMember): number =>
      Number(this.regionOf(instance.availabilityZone) !== this.region);
    return [...group.members.values()].sort(
      (left, right) => isFar(left) - isFar(right),
    );
  }

  /** Takes a connection, if one is free or can be opened quickly. */
  private async connectionOf(
    pool: InstancePool,
  ): Promise<PooledConnection | undefined> {
    try {
      return await pool.acquire({
        priority: CONTROL_PRIORITY,
        deadlineMs: steadyNow() + ANSWER_TIMEOUT_MS,
        values: new Map(),
      });
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      // The next instance is asked instead.
      return undefined;
    }
  }

  private async askMember({
    pool,
  }: GroupMember): Promise<ReplicationReport | undefined> {
    const connection = await this.connectionOf(pool);
    if (connection === undefined) return undefined;
    const reply = await within(
      connection.run({kind: CommandKind.Status}),
      ANSWER_TIMEOUT_MS,
    ).catch((error: Error) => error);
    if (reply === TIMED_OUT || reply instanceof Error) {
      pool.discard(connection, 'it did not answer');
      return undefined;
    }
    pool.release(connection);
    return reply.report;
  }
}

/** Says whether a replica follows a term and is held at no higher one. */
function followsTerm(
  report: ReplicationReport | undefined,
  term: number,
): boolean {
  if (report === undefined || report.isPrimary) return false;
  return report.term === term && report.heldTerm <= term;
}
