import type {
  ChangeProgress,
  ClockReading,
  InstanceCandidate,
  LogPosition,
  ObservedPosition,
} from '@sapphireglade/decisions';
import {
  ChangeExpectation,
  comparePositions,
  elapsedMs,
  InstanceUse,
  isSameSteadyPrimary,
  PrimaryPositionHistory,
  PositionSource,
  PrimaryPhase,
  ViewFreshness,
} from '@sapphireglade/decisions';
import {Subject} from 'rxjs';
import type {
  InstanceUsePolicy,
  RegisteredInstance,
} from '../directory/index.js';
import {RegistrationUsePolicy} from '../directory/index.js';
import type {InstancePool, ReportedPosition} from '../pool/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import type {CommitHolders} from './commit-holders.js';
import {findCommitHolders} from './commit-holders.js';
import {AcknowledgedCommits} from './acknowledged-commits.js';
import {toInstanceCandidate} from './instance-candidate.js';
import type {GroupMember} from './group-member.js';
import {createGroupMember} from './group-member.js';
import {MemberRemovals} from './member-removals.js';
import {ObservedChange} from './observed-change.js';
import {PrimaryProblem} from './primary-problem.js';
import {ReplicaWitness} from './replica-witness.js';
import {StoreConfirmation} from './store-confirmation.js';
import type {VersionedPrimaryRecord} from './types.js';
import {isOutdated} from './types.js';

/**
 * Validity of a view of the primary, in milliseconds. A change of primary waits
 * this long for proxies that have not published their release, so the validity
 * takes half of the two seconds in which a failed primary has to be replaced.
 */
export const VIEW_VALIDITY_MS = 1_000;

/** The state of one group cached by one proxy. */
export class DatabaseGroup {
  /** Positions observed at the instances. */
  readonly positions = new PrimaryPositionHistory();
  /** What this process has acknowledged. */
  readonly acknowledged = new AcknowledgedCommits();
  /** When the store last confirmed the view. */
  readonly storeConfirmation = new StoreConfirmation();
  /** What lies on a replica that can be asked for it. */
  readonly witness = new ReplicaWitness(this);
  /** Tracks until when the view of the record is valid. */
  readonly viewFreshness: ViewFreshness = new ViewFreshness(VIEW_VALIDITY_MS);
  private readonly membersById = new Map<string, GroupMember>();
  private readonly removals = new MemberRemovals();
  private readonly recordChanges = new Subject<VersionedPrimaryRecord>();
  private stored: VersionedPrimaryRecord | undefined;
  private beforeRestore: VersionedPrimaryRecord | undefined;
  private known: VersionedPrimaryRecord | undefined;
  /** Time at which the current primary was set, in milliseconds of the steady clock. */
  private primarySinceMs = Infinity;
  /** Highest position observed at the current primary since then. */
  private highestPrimaryPosition: LogPosition | undefined;
  /** Highest term in which an instance is known to have been primary. */
  private highestLedTerm = 0;
  /** Latest time at which no other instance had become primary after the newest steady record. */
  private notReplacedAt: ClockReading | undefined;
  private readonly observedChange: ObservedChange;

  /**
   * @param name - Name of the group.
   * @param changeExpectation - Shared by the groups of a process.
   * @param usePolicy - Decides whether an instance receives statements.
   */
  constructor(
    readonly name: string,
    readonly changeExpectation: ChangeExpectation = new ChangeExpectation(),
    private readonly usePolicy: InstanceUsePolicy = new RegistrationUsePolicy(),
  ) {
    this.observedChange = new ObservedChange(changeExpectation);
  }

  /** Emits each newer record. */
  get records$(): Subject<VersionedPrimaryRecord> {
    return this.recordChanges;
  }

  /** The current record: the newest one of the store, unless an instance was discovered as primary of a higher term. */
  get record(): VersionedPrimaryRecord | undefined {
    return this.known;
  }

  /**
   * The newest record received from the store since it was last restored; may
   * have been written before.
   */
  get storedRecord(): VersionedPrimaryRecord | undefined {
    return this.stored;
  }

  /** The newest record received before the store was restored from a backup. */
  get recordBeforeRestore(): VersionedPrimaryRecord | undefined {
    return this.beforeRestore;
  }

  /** Handles that the store was restored from a backup, which may lack the newest record. */
  onStoreRestored(): void {
    if (this.stored !== undefined && !isOutdated(this.stored))
      this.beforeRestore = this.stored;
    this.stored = undefined;
  }

  /** The instances of the group that can be used, by id. */
  get members(): ReadonlyMap<string, GroupMember> {
    return this.membersById;
  }

  /**
   * Applies a record unless a newer one was applied before. One that was written
   * before a restore of the store proves nothing and is only kept.
   */
  applyRecord(update: VersionedPrimaryRecord): void {
    if (this.stored !== undefined && update.revision <= this.stored.revision) {
      return;
    }
    this.stored = update;
    if (isOutdated(update)) return;
    const isSame = isSameSteadyPrimary(this.known?.record, update.record);
    const {term, lastPosition, phase} = update.record;
    // The record is older than the state that the instances have reported.
    const isBehind = term < this.highestLedTerm;
    if (isBehind && phase === PrimaryPhase.Steady) return;
    // No other instance is promoted while a view is valid.
    const now = readClocks();
    if (this.isSteady && this.viewFreshness.isValid(now)) {
      this.markNotReplaced(now);
    }
    this.known = update;
    if (isSame) return this.recordChanges.next(update);
    this.observedChange.onRecord(update.record);
    if (lastPosition !== undefined && !isBehind) {
      this.observeRecordedPosition(lastPosition);
    }
    this.highestLedTerm = Math.max(this.highestLedTerm, term);
    this.primarySinceMs = now.steadyMs;
    this.highestPrimaryPosition = undefined;
    this.recordChanges.next(update);
  }

  private get isSteady(): boolean {
    return this.known?.record.phase === PrimaryPhase.Steady;
  }

  private markNotReplaced(at: ClockReading): void {
    const knownMs = this.notReplacedAt?.steadyMs ?? -Infinity;
    if (at.steadyMs > knownMs) this.notReplacedAt = at;
  }

  /**
   * Records the last position of a primary. It includes every commit
   * acknowledged before the next primary was promoted, which may be long ago by
   * now.
   */
  private observeRecordedPosition(position: LogPosition): void {
    if (this.notReplacedAt === undefined) return;
    const now = readClocks();
    this.positions.discardAfterSuspension(now);
    const sinceMs = elapsedMs(this.notReplacedAt, now);
    this.positions.recordObservation(
      now.steadyMs - sinceMs,
      position,
      PositionSource.Record,
    );
  }

  /**
   * Sets a discovered primary: an instance that reports to lead a higher term
   * than the record.
   *
   * It stays in force until the store returns a change of primary or a term
   * that is at least as high.
   */
  adoptPrimary(term: number, primary: string, sentAt: ClockReading): void {
    if (this.known === undefined || term <= this.known.record.term) return;
    if (term < this.highestLedTerm) return;
    const record = {term, primary, phase: PrimaryPhase.Steady};
    this.known = {...this.known, record};
    this.highestLedTerm = term;
    this.primarySinceMs = steadyNowMs();
    this.highestPrimaryPosition = undefined;
    this.viewFreshness.confirm(sentAt);
    this.recordChanges.next(this.known);
  }

  /** Progress of the change of primary that the record describes. */
  get change(): ChangeProgress {
    return this.observedChange.progress;
  }

  /** Handles a response of the store that confirmed the record as newest. */
  confirmRecord(sentAt: ClockReading): void {
    this.storeConfirmation.onRecordConfirmed(sentAt);
    if (!this.hasDiscoveredPrimary) {
      this.viewFreshness.confirm(sentAt);
      this.storeConfirmation.onViewProlonged(sentAt);
    }
    const {target, orders = 0} = this.known?.record ?? {};
    const mayBeReplaced = target !== undefined || orders > 0;
    if (!mayBeReplaced) this.markNotReplaced(sentAt);
  }

  /** Handles a renewal of the view lease. */
  onLeaseRenewed(sentAt: ClockReading): void {
    if (this.hasDiscoveredPrimary) return;
    if (this.viewFreshness.isValid(sentAt))
      this.storeConfirmation.onViewProlonged(sentAt);
    this.extendView(sentAt);
  }

  /** Returns whether the view would be valid without what instances have verified. */
  isConfirmedByStore(now: ClockReading): boolean {
    if (this.hasDiscoveredPrimary) return false;
    return this.storeConfirmation.hasProlongedWithin(VIEW_VALIDITY_MS, now);
  }

  /**
   * Whether the current primary was discovered at the instances and differs
   * from the store. A change that is announced again then does not wait for a
   * lease, only for verified views to expire.
   */
  private get hasDiscoveredPrimary(): boolean {
    return this.known !== this.stored;
  }

  /** Extends a view that was still valid when the request was sent. */
  extendView(sentAt: ClockReading): void {
    if (!this.viewFreshness.isValid(sentAt)) return;
    this.viewFreshness.confirm(sentAt);
    // A change of primary proceeds without a proxy that released the primary.
    if (this.isSteady) this.markNotReplaced(sentAt);
  }

  /** Adds an instance. */
  addMember(instance: RegisteredInstance, pool: InstancePool): void {
    const member = createGroupMember(instance, pool);
    this.membersById.set(instance.id, member);
    pool.positions$.subscribe(reported =>
      this.observePosition(member, reported),
    );
  }

  /** Replaces the registration of an instance. */
  updateMember(instance: RegisteredInstance): void {
    const member = this.membersById.get(instance.id);
    if (member === undefined) return;
    this.membersById.set(instance.id, {...member, instance});
  }

  /** Starts tracking removals, because this proxy holds connections to the instances from now on; earlier removals are unknown. */
  onOwnershipAcquired(): void {
    this.removals.restart();
  }

  /** Removes an instance and closes its connections. */
  removeMember(id: string, reason: string): void {
    const member = this.membersById.get(id);
    if (member === undefined) return;
    this.membersById.delete(id);
    this.removals.record(id);
    member.pool.close(reason);
  }

  /**
   * Returns the instances besides the primary that may hold acknowledged commits.
   *
   * @param nowMs - The time, in milliseconds of the steady clock.
   */
  possibleCommitHolders(nowMs: number): CommitHolders {
    const members = [...this.membersById.values()];
    const record = this.known?.record;
    return findCommitHolders(record, members, this.removals, nowMs);
  }

  /** Returns the primary, or the reason why it cannot be used. */
  usablePrimary(): GroupMember | PrimaryProblem {
    if (this.known === undefined) return PrimaryProblem.Unknown;
    const {record} = this.known;
    if (record.phase === PrimaryPhase.Changing) return PrimaryProblem.Changing;
    if (!this.viewFreshness.isValid(readClocks())) {
      return PrimaryProblem.Unconfirmed;
    }
    const member = this.membersById.get(record.primary);
    if (member === undefined) return PrimaryProblem.Missing;
    const use = this.usePolicy.useOf(member.instance, true);
    if (use === InstanceUse.Unconfirmed) return PrimaryProblem.Unlisted;
    return use === InstanceUse.Leaving ? PrimaryProblem.Leaving : member;
  }

  /** Returns whether an instance is listed and may receive new statements in its role. */
  mayReceiveStatements(id: string, isPrimary: boolean): boolean {
    const member = this.membersById.get(id);
    return (
      member !== undefined &&
      this.usePolicy.useOf(member.instance, isPrimary) === InstanceUse.Allowed
    );
  }

  /**
   * Returns the replicas that may serve a read, as selection candidates.
   *
   * @param required - The position that the read needs.
   * @param regionOf - Returns the region of an availability zone.
   * @param region - Region of this proxy.
   */
  replicaOptions(
    required: LogPosition,
    regionOf: (zone: string) => string,
    region: string,
  ): InstanceCandidate[] {
    const primary = this.known?.record.primary;
    return [...this.membersById.values()]
      .filter(({instance}) => instance.id !== primary)
      .filter(({instance}) => this.mayReceiveStatements(instance.id, false))
      .filter(({pool}) => pool.canBeReached)
      .map(member =>
        toInstanceCandidate(
          member,
          regionOf(member.instance.availabilityZone) !== region,
          member.lag.timeToReach(required, steadyNowMs(), this.positions),
        ),
      );
  }

  /** Records a position reported by an instance. */
  private observePosition(
    {instance: {id}, lag, shown}: GroupMember,
    reported: ReportedPosition,
  ): void {
    shown.record(reported);
    const {positions} = this;
    positions.discardAfterSuspension(readClocks());
    positions.recordSeen(reported.position);
    if (this.known?.record.primary !== id) {
      const {position, sentAtMs} = reported;
      lag.record(position, sentAtMs, steadyNowMs(), positions);
    }
    // A response to an earlier request may lag behind the primary of that time.
    const wasPrimary = reported.sentAtMs >= this.primarySinceMs;
    const isFromPrimary =
      wasPrimary &&
      this.known !== undefined &&
      this.known.record.phase === PrimaryPhase.Steady &&
      this.known.record.primary === id &&
      reported.position.term <= this.known.record.term &&
      this.viewFreshness.isValid(readClocks());
    if (!isFromPrimary) return;
    // A primary that reports a lower position than before has lost its log.
    const {highestPrimaryPosition: highestReported} = this;
    const isLower =
      highestReported !== undefined &&
      comparePositions(reported.position, highestReported) < 0;
    if (isLower) return;
    this.highestPrimaryPosition = reported.position;
    positions.recordObservation(reported.sentAtMs, reported.position);
  }

  /**
   * Returns the position that a replica must have reached for a read, if known.
   *
   * @param notBeforeMs - The position must include the commits acknowledged
   *   before this time of the steady clock.
   */
  requiredPosition(notBeforeMs: number): ObservedPosition | undefined {
    this.positions.discardAfterSuspension(readClocks());
    return this.positions.findPositionSince(notBeforeMs);
  }

  /** Records an upper bound of the commits acknowledged before a probe. */
  observeCommitBound(askedAtMs: number, position: LogPosition): void {
    this.positions.discardAfterSuspension(readClocks());
    this.positions.bound(askedAtMs, position);
  }

  /** Returns the minimum position of every read, if any is known. */
  minimumReadPosition(
    position: LogPosition | undefined,
  ): LogPosition | undefined {
    const newest = this.positions.newest?.position;
    if (position === undefined) return newest;
    if (newest === undefined) return position;
    return comparePositions(position, newest) >= 0 ? position : newest;
  }
}
