import type {ClockReading, ReplicationReport} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import type {
  DatabaseGroup,
  GroupMember,
  GroupRegistry,
  VersionedPrimaryRecord,
} from '../groups/index.js';
import {fetchReplicationReport} from '../groups/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';

/** How often the age of the views is looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Age of a view after which replicas are asked, in milliseconds; longer than two renewals of the lease for views take. */
const VERIFY_AFTER_MS = 600;

/** For how long no replica must have been asked before the store counts as back, in milliseconds; twice the time after which they are asked. */
const STORE_RECOVERED_AFTER_MS = 1_200;

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
export class ViewVerificationTask extends SupervisedTask {
  private timer: NodeJS.Timeout | undefined;
  private readonly verifying = new Set<DatabaseGroup>();
  /** Groups of which the last answers proved nothing. */
  private readonly unverified = new Set<DatabaseGroup>();
  private isStoreLossReported = false;
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
    for (const group of this.groups.owned) {
      if (group.confirmation.ageMs(now) < VERIFY_AFTER_MS) continue;
      if (group.record === undefined) continue;
      this.lastAskedAtMs = steadyNowMs();
      if (!this.verifying.has(group)) void this.verifyView(group);
    }
    this.report();
  }

  private report(): void {
    const isAsking =
      steadyNowMs() - this.lastAskedAtMs < STORE_RECOVERED_AFTER_MS;
    if (isAsking === this.isStoreLossReported) return;
    this.isStoreLossReported = isAsking;
    this.log.warn(
      isAsking
        ? 'The store does not confirm the primaries; replicas are asked.'
        : 'The store confirms the primaries again.',
    );
  }

  private async verifyView(group: DatabaseGroup): Promise<void> {
    const known = group.record;
    if (known === undefined) return;
    this.verifying.add(group);
    try {
      const sentAt = readClocks();
      const isWhole = this.unverified.has(group);
      const reports: ReplicationReport[] = [];
      const ask = async ({pool}: GroupMember): Promise<void> => {
        const report = await fetchReplicationReport(pool);
        if (report === undefined) return;
        reports.push(report);
        // A dead primary must not delay the news that another instance leads.
        if (isWhole) this.adoptNewPrimary(group, reports, sentAt);
      };
      await Promise.all(this.instancesToAsk(group, known, isWhole).map(ask));
      this.applyResult(group, known, reports, sentAt);
    } finally {
      this.verifying.delete(group);
    }
  }

  /** The recorded primary and a replica; all instances if they proved nothing. */
  private instancesToAsk(
    group: DatabaseGroup,
    {record}: VersionedPrimaryRecord,
    isWhole: boolean,
  ): GroupMember[] {
    const members = this.nearestMembersFirst(group);
    if (isWhole) return members;
    const replica = members.find(each => each.instance.id !== record.primary);
    const primary = members.find(each => each.instance.id === record.primary);
    return [primary, replica].filter(each => each !== undefined);
  }

  private applyResult(
    group: DatabaseGroup,
    known: VersionedPrimaryRecord,
    reports: readonly ReplicationReport[],
    sentAt: ClockReading,
  ): void {
    if (!isViewVerified(known, reports)) {
      this.unverified.add(group);
      return;
    }
    this.unverified.delete(group);
    if (group.record === known) group.extendView(sentAt);
  }

  /** Takes an instance as the primary that leads a higher term and is followed in it. */
  private adoptNewPrimary(
    group: DatabaseGroup,
    reports: readonly ReplicationReport[],
    sentAt: ClockReading,
  ): void {
    const term = group.record?.record.term ?? Infinity;
    const leader = reports.find(each => each.isPrimary && each.term > term);
    if (leader === undefined) return;
    if (!reports.some(each => followsTerm(each, leader.term))) return;
    this.log.info('An instance leads a higher term than is recorded.', {
      group: group.name,
      primary: leader.id,
      term: leader.term,
    });
    group.adoptPrimary(leader.term, leader.id, sentAt);
  }

  /** Instances of this region first, because the others cost paid bytes. */
  private nearestMembersFirst(group: DatabaseGroup): GroupMember[] {
    const isFar = ({instance}: GroupMember): number =>
      Number(this.regionOf(instance.availabilityZone) !== this.region);
    return [...group.members.values()].sort(
      (left, right) => isFar(left) - isFar(right),
    );
  }
}

/**
 * Says whether the recorded primary leads by its own word, and a replica that
 * is not held at a higher term follows it.
 */
function isViewVerified(
  {record}: VersionedPrimaryRecord,
  reports: readonly ReplicationReport[],
): boolean {
  if (record.phase !== PrimaryPhase.Steady) return false;
  const leads = reports.some(
    ({id, isPrimary, term}) =>
      id === record.primary && isPrimary && term === record.term,
  );
  return leads && reports.some(each => followsTerm(each, record.term));
}

/** Says whether a replica follows a term and is held at no higher one. */
function followsTerm(report: ReplicationReport, term: number): boolean {
  return !report.isPrimary && report.term === term && report.heldTerm <= term;
}
