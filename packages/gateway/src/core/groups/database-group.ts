import type {
  ClockReading,
  InstanceCandidate,
  LogPosition,
  ObservedPosition,
  ViewFreshness,
} from '@sapphireglade/decisions';
import {
  comparePositions,
  elapsedMs,
  PrimaryPositionHistory,
  PositionSource,
  PrimaryPhase,
  ViewFreshness as Confirmation,
} from '@sapphireglade/decisions';
import {Subject} from 'rxjs';
import type {RegisteredInstance} from '../directory/index.js';
import type {InstancePool, ReportedPosition} from '../pool/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import type {PrimaryChangeProgress, VersionedPrimaryRecord} from './types.js';

/**
 * How long a view of the primary may be acted on, in milliseconds. A change of
 * primary waits this long for proxies that have not said that they let go, so
 * it takes half of the two seconds in which a failed primary has to be replaced.
 */
export const VIEW_VALIDITY_MS = 1_000;

/** How long after an instance has left the others may lack what only it and the primary held, in milliseconds; replicas lag for ten seconds at times. */
const REPLICA_CATCH_UP_MS = 60_000;

/** How long a process must have known a group to be sure of who has left lately, in milliseconds; the directory drops silent instances within four. */
const SETTLED_MS = 10_000;

/** Why the primary cannot be used at the moment. */
export const PrimaryProblem = {
  /** No primary is recorded yet. */
  Unknown: 'unknown',
  /** Another primary is being chosen. */
  Changing: 'changing',
  /** The record may be out of date. */
  Unconfirmed: 'unconfirmed',
  /** The recorded primary is not in the directory. */
  Missing: 'missing',
} as const;

/** One of the problems. */
export type PrimaryProblem =
  (typeof PrimaryProblem)[keyof typeof PrimaryProblem];

/** An instance of the group, and the connections to it. */
export interface GroupMember {
  readonly instance: RegisteredInstance;
  readonly pool: InstancePool;
}

/** What one proxy knows of one group. */
export class DatabaseGroup {
  /** Positions that the instances have shown. */
  readonly positions = new PrimaryPositionHistory();
  /** Confirms that the record is the newest one. */
  readonly confirmation: ViewFreshness = new Confirmation(VIEW_VALIDITY_MS);
  private readonly membersById = new Map<string, GroupMember>();
  /** Instances that were removed lately, and when by the steady clock. */
  private removedMembers: {readonly id: string; readonly atMs: number}[] = [];
  private trackedSinceMs = steadyNowMs();
  private readonly recordChanges = new Subject<VersionedPrimaryRecord>();
  private stored: VersionedPrimaryRecord | undefined;
  private known: VersionedPrimaryRecord | undefined;
  /** Since when the primary in force is known, in milliseconds of the steady clock. */
  private primarySinceMs = Infinity;
  /** Highest position that the primary in force has shown since. */
  private highestPrimaryPosition: LogPosition | undefined;
  /** Highest term in which an instance is known to have led. */
  private highestLedTerm = 0;
  /** When no other instance had led yet after the newest steady record. */
  private notReplacedAt: ClockReading | undefined;
  private changeProgress: PrimaryChangeProgress = {
    beganAtMs: 0,
    isPlanned: false,
    targetAtMs: undefined,
  };

  /** @param name - Name of the group. */
  constructor(readonly name: string) {}

  /** Emits each newer record. */
  get records$(): Subject<VersionedPrimaryRecord> {
    return this.recordChanges;
  }

  /**
   * The record in force: the newest one of the store, unless an instance was
   * found to lead a higher term.
   */
  get record(): VersionedPrimaryRecord | undefined {
    return this.known;
  }

  /** The newest record of the store. */
  get storedRecord(): VersionedPrimaryRecord | undefined {
    return this.stored;
  }

  /** The instances that may be used. */
  get members(): ReadonlyMap<string, GroupMember> {
    return this.membersById;
  }

  /** Takes a record in unless a newer one is known. */
  applyRecord(known: VersionedPrimaryRecord): void {
    if (this.stored !== undefined && known.revision <= this.stored.revision) {
      return;
    }
    this.stored = known;
    const {term, lastPosition, phase} = known.record;
    // The store, or the answer, is behind what the instances have shown.
    const isBehind = term < this.highestLedTerm;
    if (isBehind && phase === PrimaryPhase.Steady) return;
    // As long as a view counts, no other instance is promoted.
    const now = readClocks();
    if (this.isSteady && this.confirmation.isValid(now)) {
      this.markNotReplaced(now);
    }
    this.known = known;
    this.updateChangeProgress(known);
    if (lastPosition !== undefined && !isBehind) {
      this.observeRecordedPosition(lastPosition);
    }
    this.highestLedTerm = Math.max(this.highestLedTerm, term);
    this.primarySinceMs = now.steadyMs;
    this.highestPrimaryPosition = undefined;
    this.recordChanges.next(known);
  }

  private get isSteady(): boolean {
    return this.known?.record.phase === PrimaryPhase.Steady;
  }

  private markNotReplaced(at: ClockReading): void {
    const knownMs = this.notReplacedAt?.steadyMs ?? -Infinity;
    if (at.steadyMs > knownMs) this.notReplacedAt = at;
  }

  /**
   * Takes in the last position of a primary. It holds everything that was
   * acknowledged until the next one led, which may be long ago by now.
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
   * Takes in that an instance says it leads a higher term than is recorded.
   *
   * It counts until the store shows a change of primary or a term as high.
   */
  adoptPrimary(term: number, primary: string, sentAt: ClockReading): void {
    if (this.known === undefined || term <= this.known.record.term) return;
    if (term < this.highestLedTerm) return;
    const record = {term, primary, phase: PrimaryPhase.Steady};
    this.known = {record, revision: this.known.revision};
    this.highestLedTerm = term;
    this.primarySinceMs = steadyNowMs();
    this.highestPrimaryPosition = undefined;
    this.confirmation.confirm(sentAt);
    this.recordChanges.next(this.known);
  }

  /** How far the change of primary is that the record speaks of. */
  get change(): PrimaryChangeProgress {
    return this.changeProgress;
  }

  /** A record that only names the target goes on with the same change. */
  private updateChangeProgress({record}: VersionedPrimaryRecord): void {
    const nowMs = steadyNowMs();
    const isPlanned = record.isPlanned === true;
    const hasTarget =
      record.phase === PrimaryPhase.Changing && record.target !== undefined;
    this.changeProgress = hasTarget
      ? {...this.changeProgress, targetAtMs: nowMs}
      : {beganAtMs: nowMs, isPlanned, targetAtMs: undefined};
  }

  /** Takes in that an answer of the store proved the record to be the newest. */
  confirmRecord(sentAt: ClockReading): void {
    if (!this.hasDiscoveredPrimary) this.confirmation.confirm(sentAt);
    const {target, orders = 0} = this.known?.record ?? {};
    const mayBeReplaced = target !== undefined || orders > 0;
    if (!mayBeReplaced) this.markNotReplaced(sentAt);
  }

  /** Takes in that the lease for views was renewed. */
  onLeaseRenewed(sentAt: ClockReading): void {
    if (!this.hasDiscoveredPrimary) this.extendView(sentAt);
  }

  /**
   * Whether the instances show another primary than the store. A change that
   * is announced anew does not wait for a lease then, only for proofs to run out.
   */
  private get hasDiscoveredPrimary(): boolean {
    return this.known !== this.stored;
  }

  /** Prolongs a view that still counted when the question was sent. */
  extendView(sentAt: ClockReading): void {
    if (!this.confirmation.isValid(sentAt)) return;
    this.confirmation.confirm(sentAt);
    // A change goes on without a proxy that has let go.
    if (this.isSteady) this.markNotReplaced(sentAt);
  }

  /** Adds an instance. */
  addMember(member: GroupMember): void {
    this.membersById.set(member.instance.id, member);
    member.pool.positions$.subscribe(shown =>
      this.observePosition(member.instance.id, shown),
    );
  }

  /** Replaces what an instance has registered of itself. */
  updateMember(instance: RegisteredInstance): void {
    const member = this.membersById.get(instance.id);
    if (member === undefined) return;
    this.membersById.set(instance.id, {instance, pool: member.pool});
  }

  /** Connections to the instances are held from now on; what left before is not known. */
  onOwnershipAcquired(): void {
    this.removedMembers = [];
    this.trackedSinceMs = steadyNowMs();
  }

  /** Removes an instance and closes its connections. */
  removeMember(id: string, reason: string): void {
    const member = this.membersById.get(id);
    if (member === undefined) return;
    this.membersById.delete(id);
    this.removedMembers.push({id, atMs: steadyNowMs()});
    member.pool.close(reason);
  }

  /**
   * The instances that may hold acknowledged commits, but the primary.
   *
   * @param nowMs - The time, in milliseconds of the steady clock.
   * @returns Those that can be asked, and how many others there may be. A
   *   process that has just started may not know who has left.
   */
  possibleCommitHolders(nowMs: number): {
    readonly replicas: readonly GroupMember[];
    readonly absent: number;
  } {
    this.removedMembers = this.removedMembers.filter(
      ({atMs}) => nowMs - atMs < REPLICA_CATCH_UP_MS,
    );
    const primary = this.known?.record.primary;
    const left = this.removedMembers.filter(({id}) => id !== primary);
    const replicas = [...this.membersById.values()].filter(
      ({instance}) => instance.id !== primary,
    );
    const isNew = nowMs - this.trackedSinceMs < SETTLED_MS;
    return {
      replicas,
      absent: 1 + left.length + Number(isNew),
    };
  }

  /** The member that leads, or why it cannot be used. */
  usablePrimary(): GroupMember | PrimaryProblem {
    if (this.known === undefined) return PrimaryProblem.Unknown;
    const {record} = this.known;
    if (record.phase === PrimaryPhase.Changing) return PrimaryProblem.Changing;
    if (!this.confirmation.isValid(readClocks())) {
      return PrimaryProblem.Unconfirmed;
    }
    return this.membersById.get(record.primary) ?? PrimaryProblem.Missing;
  }

  /** Replicas that may serve reads, as options for a choice. */
  replicaOptions(
    regionOf: (zone: string) => string,
    region: string,
  ): InstanceCandidate[] {
    const primary = this.known?.record.primary;
    return [...this.membersById.values()]
      .filter(({instance}) => instance.id !== primary && !instance.isLeaving)
      .filter(({pool}) => pool.unreachableSinceMs === undefined)
      .map(member =>
        toInstanceCandidate(
          member,
          regionOf(member.instance.availabilityZone) !== region,
        ),
      );
  }

  /** Takes in a position that one instance showed. */
  private observePosition(id: string, shown: ReportedPosition): void {
    this.positions.discardAfterSuspension(readClocks());
    this.positions.recordSeen(shown.position);
    // One that was asked before may have lagged behind the primary of that time.
    const wasPrimary = shown.sentAtMs >= this.primarySinceMs;
    const isFromPrimary =
      wasPrimary &&
      this.known !== undefined &&
      this.known.record.phase === PrimaryPhase.Steady &&
      this.known.record.primary === id &&
      shown.position.term <= this.known.record.term &&
      this.confirmation.isValid(readClocks());
    if (!isFromPrimary) return;
    // A primary that shows less than before has lost its log.
    const {highestPrimaryPosition: primaryShown} = this;
    const isLess =
      primaryShown !== undefined &&
      comparePositions(shown.position, primaryShown) < 0;
    if (isLess) return;
    this.highestPrimaryPosition = shown.position;
    this.positions.recordObservation(shown.sentAtMs, shown.position);
  }

  /**
   * Finds the position that makes a replica fresh enough.
   *
   * @param notBeforeMs - Commits acknowledged before this time of the steady
   *   clock must be held.
   */
  requiredPosition(notBeforeMs: number): ObservedPosition | undefined {
    this.positions.discardAfterSuspension(readClocks());
    return this.positions.findPositionSince(notBeforeMs);
  }

  /** Takes in a position that holds what was acknowledged before a survey. */
  observeCommitBound(askedAtMs: number, position: LogPosition): void {
    this.positions.discardAfterSuspension(readClocks());
    this.positions.bound(askedAtMs, position);
  }

  /** The position that every read must at least have, if any is known. */
  minimumReadPosition(
    position: LogPosition | undefined,
  ): LogPosition | undefined {
    const newest = this.positions.newest?.position;
    if (position === undefined) return newest;
    if (newest === undefined) return position;
    return comparePositions(position, newest) >= 0 ? position : newest;
  }
}

/** Describes a member for the choice of an instance. */
export function toInstanceCandidate(
  {instance, pool}: GroupMember,
  isPaidLink: boolean,
  isPrimary = false,
): InstanceCandidate {
  return {
    id: instance.id,
    isPrimary,
    roundTripMs: pool.roundTripMs,
    isPaidLink,
    queued: pool.queueLength,
    connections: pool.connections,
    free: pool.idleCount,
    holdingMs: pool.holdingMs,
    lastBehindAtMs: pool.lastBehindAtMs,
    lastFailedAtMs: pool.lastFailedAtMs,
  };
}
