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
import {
  fetchStandingReport,
  isStandingMember,
  mayVouch,
} from '../groups/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import {ViewVerificationLog} from './view-verification-log.js';

/** Interval between two checks of the age of the views, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * Age of a view after which instances are queried, in milliseconds; longer than
 * two renewals of the view lease take.
 */
const VERIFY_AFTER_MS = 600;

/**
 * How long no instance must have been queried before the store counts as
 * available again, in milliseconds; twice the age after which they are queried.
 */
const STORE_RECOVERED_AFTER_MS = 1_200;

/**
 * Verifies views of primaries by querying instances while the store is
 * unavailable.
 *
 * Before it promotes an instance, a change of primary holds every replica at a
 * higher term, or steps the old primary down, and then waits for longer than a
 * view is valid. Therefore a primary that reports to lead, together with a
 * replica that follows it and is not held, extends a view that is still valid.
 *
 * A replica that restarted has lost its hold, and one that joined was never
 * held; a primary that restarted leads again. So both must have run since the
 * store last confirmed the record: what a later change told them still holds.
 * A connection that has been open since then shows it.
 *
 * An expired view cannot be restored in this way, because the process may have
 * been suspended during the whole change.
 *
 * An instance that leads a higher term and has a follower in it is adopted as
 * the primary, so that a proxy without access to the store follows a change
 * made by others.
 */
export class ViewVerificationTask extends SupervisedTask {
  private timer: NodeJS.Timeout | undefined;
  private readonly verifying = new Set<DatabaseGroup>();
  /** Groups whose last reports did not verify the view. */
  private readonly unverified = new Set<DatabaseGroup>();
  private isStoreLossReported = false;
  private lastAskedAtMs = -Infinity;
  private readonly verifications: ViewVerificationLog;

  constructor(
    private readonly groups: GroupRegistry,
    private readonly region: string,
    private readonly regionOf: (zone: string) => string,
    private readonly log: Logger,
  ) {
    super('view-verification');
    this.verifications = new ViewVerificationLog(log);
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
      if (group.viewFreshness.ageMs(now) < VERIFY_AFTER_MS) continue;
      if (group.record === undefined) continue;
      this.lastAskedAtMs = steadyNowMs();
      if (!this.verifying.has(group)) void this.verifyView(group);
    }
    this.report();
  }

  private report(): void {
    const isQuerying =
      steadyNowMs() - this.lastAskedAtMs < STORE_RECOVERED_AFTER_MS;
    if (isQuerying === this.isStoreLossReported) return;
    this.isStoreLossReported = isQuerying;
    if (!isQuerying) this.verifications.clear();
    this.log.warn(
      isQuerying
        ? 'The store does not confirm the primaries; querying the instances.'
        : 'The store confirms the primaries again.',
    );
  }

  private async verifyView(group: DatabaseGroup): Promise<void> {
    const known = group.record;
    if (known === undefined) return;
    this.verifying.add(group);
    try {
      const sentAt = readClocks();
      const includesAll = this.unverified.has(group);
      const reports: ReplicationReport[] = [];
      const query = async ({pool}: GroupMember): Promise<void> => {
        const answer = await fetchStandingReport(pool);
        if (answer === undefined || !mayVouch(group, answer)) return;
        reports.push(answer.report);
        // An unresponsive primary must not delay the adoption of a new one.
        if (includesAll) this.adoptNewPrimary(group, reports, sentAt);
      };
      await Promise.all(
        this.instancesToQuery(group, known, includesAll).map(query),
      );
      this.applyResult(group, known, reports, sentAt);
    } finally {
      this.verifying.delete(group);
    }
  }

  /**
   * Returns the recorded primary and a replica, or all instances if the last
   * reports did not verify the view.
   */
  private instancesToQuery(
    group: DatabaseGroup,
    {record}: VersionedPrimaryRecord,
    includesAll: boolean,
  ): GroupMember[] {
    const members = this.nearestMembersFirst(group);
    if (includesAll) return members;
    const replicas = members.filter(
      ({instance}) => instance.id !== record.primary,
    );
    // A leaving replica is held, and does not follow.
    const replica =
      replicas.find(
        each => !each.instance.isLeaving && isStandingMember(group, each),
      ) ?? replicas[0];
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
    if (group.record !== known) return;
    const replica = reports.find(each => followsTerm(each, known.record.term));
    this.verifications.record(group, known.record, replica);
    group.extendView(sentAt);
  }

  /**
   * Adopts an instance as the primary if it leads a higher term and has a
   * follower in it.
   *
   * It may have been replaced already, and an instance that cannot reach the next
   * primary may follow it again. So every instance but the recorded primary has
   * to answer, and none may know of a later term.
   */
  private adoptNewPrimary(
    group: DatabaseGroup,
    reports: readonly ReplicationReport[],
    sentAt: ClockReading,
  ): void {
    const {record} = group.record ?? {};
    if (record === undefined) return;
    const leader = reports.find(
      each => each.isPrimary && each.term > record.term,
    );
    if (leader === undefined) return;
    if (!reports.some(each => followsTerm(each, leader.term))) return;
    const others = [...group.members.values()].filter(
      ({instance}) => instance.id !== record.primary,
    );
    const knowNoLaterTerm = others.every(({instance}) => {
      const report = reports.find(({id}) => id === instance.id);
      if (report === undefined || report.term > leader.term) return false;
      // A leaving replica is held also while nobody is replaced.
      return instance.isLeaving || report.heldTerm <= leader.term;
    });
    if (!knowNoLaterTerm) return;
    this.log.info('An instance leads a higher term than is recorded.', {
      group: group.name,
      primary: leader.id,
      term: leader.term,
    });
    group.adoptPrimary(leader.term, leader.id, sentAt);
  }

  /**
   * Returns the members with those of this region first, because traffic to
   * other regions is paid.
   */
  private nearestMembersFirst(group: DatabaseGroup): GroupMember[] {
    const isRemote = ({instance}: GroupMember): number =>
      Number(this.regionOf(instance.availabilityZone) !== this.region);
    return [...group.members.values()].sort(
      (left, right) => isRemote(left) - isRemote(right),
    );
  }
}

/**
 * Returns whether the recorded primary reports to lead, and a replica that is
 * not held at a higher term follows it.
 */
function isViewVerified(
  {record}: VersionedPrimaryRecord,
  reports: readonly ReplicationReport[],
): boolean {
  if (record.phase !== PrimaryPhase.Steady) return false;
  const isLeading = reports.some(
    ({id, isPrimary, term}) =>
      id === record.primary && isPrimary && term === record.term,
  );
  return isLeading && reports.some(each => followsTerm(each, record.term));
}

/** Returns whether a replica follows a term and is not held at a higher one. */
function followsTerm(report: ReplicationReport, term: number): boolean {
  return !report.isPrimary && report.term === term && report.heldTerm <= term;
}
