import type {
  LogPosition,
  PrimaryRecord,
  ReplicationReport,
  PromotionCandidate,
} from '@sapphireglade/decisions';
import {chooseTarget, elapsedMs, PrimaryPhase} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RegisteredInstance} from '../directory/index.js';
import type {DatabaseGroup, VersionedPrimaryRecord} from '../groups/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import {PromotionResult} from './promotion-service.js';
import {writePrimaryRecord} from './write-primary-record.js';
import {ViewRevocation} from './view-revocation.js';

/** Interval between two checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** How long a planned change waits for proxies to release the primary, in milliseconds; they let transactions finish first, for up to 250 ms. */
const RELEASE_TIMEOUT_MS = 350;

/** Delay before instances that did not report are queried again, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Maximum age of the fencing token when a promotion is ordered, in milliseconds. */
const TOKEN_VALIDITY_MS = 800;

/** Maximum time for a promoted instance to become primary, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 4_000;

/** Why a primary is replaced. */
export const PrimaryChangeReason = {
  /** The primary cannot be used. */
  Unusable: 'unusable',
  /** The primary is leaving. */
  Leaving: 'leaving',
  /** Another coordinator started the change and did not finish it. */
  Unfinished: 'unfinished',
} as const;

/** A reason to replace a primary. */
export type PrimaryChangeReason =
  (typeof PrimaryChangeReason)[keyof typeof PrimaryChangeReason];

/**
 * One change of a group's primary, executed by the coordinator.
 *
 * The order of the steps preserves every acknowledged commit: first the record
 * takes the old primary out of use at all proxies, then replicas stop receiving
 * from it, and only then the replica with the highest position is promoted.
 */
export class PrimaryChange {
  private readonly reports = new Map<string, ReplicationReport>();
  /** Start time of each held instance at the time of the hold. */
  private readonly heldIncarnations = new Map<string, number | undefined>();
  private oldPrimaryReport: ReplicationReport | undefined;
  private readonly beganAtMs = steadyNowMs();
  /** Steady-clock time of the last hold of an instance, in milliseconds. */
  private lastHeldAtMs = steadyNowMs();
  /** Number of promotions that may have been ordered without a new primary being observed. */
  private failedPromotions = 0;
  private revocation: ViewRevocation | undefined;

  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: DatabaseGroup,
    private readonly reason: PrimaryChangeReason,
  ) {}

  /**
   * Executes the change.
   *
   * @throws RecordConflictError if another proxy is the coordinator by now.
   * @throws SapphiregladeError if the store does not respond.
   */
  async run(): Promise<void> {
    const known = this.group.storedRecord;
    if (known === undefined) throw new Error('The group has no record.');
    this.countStep('begun');
    this.log('A change of primary begins.', {reason: this.reason});
    this.failedPromotions = known.record.orders ?? 0;
    if (await this.adoptPrimary(known)) return;
    try {
      const announced = await this.announce(known);
      if (this.reason === PrimaryChangeReason.Leaving) {
        await this.awaitReleases(RELEASE_TIMEOUT_MS);
        await this.stepDownOldPrimary(announced);
      } else {
        await Promise.all([
          this.holdReplicas(announced),
          this.stepDownOldPrimary(announced),
        ]);
      }
      await this.promoteUntilSuccess(announced);
    } finally {
      this.revocation?.stop();
    }
  }

  /**
   * Writes the record that takes the primary out of use, and starts to revoke
   * the views of it.
   *
   * If an instance was ordered to lead, the record is written again even if it
   * is already in this phase: proxies may have discovered that instance as
   * primary, and have to release it as well.
   */
  private async announce(
    old: VersionedPrimaryRecord,
  ): Promise<VersionedPrimaryRecord> {
    const {term, primary, phase} = old.record;
    const isWritten = phase === PrimaryPhase.Changing;
    const known =
      isWritten && this.failedPromotions === 0
        ? old
        : await writePrimaryRecord(this.context, this.group, {
            term,
            primary,
            phase: PrimaryPhase.Changing,
            isPlanned: this.reason === PrimaryChangeReason.Leaving,
            orders: this.failedPromotions,
          });
    this.revocation?.stop();
    this.revocation = new ViewRevocation(this.context, this.group.name, known);
    return known;
  }

  /** Completes the change if an earlier coordinator promoted an instance. */
  private async adoptPrimary(known: VersionedPrimaryRecord): Promise<boolean> {
    if (this.reason !== PrimaryChangeReason.Unfinished) return false;
    const reports = await this.sendToAll(this.replicas(known), {
      kind: CommandKind.Status,
    });
    const [leader] = reports
      .filter(({isPrimary, term}) => isPrimary && term > known.record.term)
      .sort((left, right) => right.term - left.term);
    if (leader === undefined) return false;
    await this.completeChange(leader);
    return true;
  }

  /** Waits until every proxy has released the old primary, or a time limit. */
  private async awaitReleases(timeoutMs: number): Promise<void> {
    const deadlineMs = steadyNowMs() + timeoutMs;
    while (this.unreleasedProxies.length > 0 && steadyNowMs() < deadlineMs) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits until no proxy can use the old primary any more. */
  private async awaitViewRevocation(): Promise<void> {
    const isRevoked = (): boolean =>
      this.revocation?.isComplete(
        this.lastHeldAtMs,
        this.failedPromotions > 0,
      ) === true;
    while (!isRevoked()) {
      this.assertStillCoordinator();
      await sleep(POLL_INTERVAL_MS);
    }
    this.log('The old primary is out of use everywhere.', {
      withoutAnswer: this.unreleasedProxies.join(' '),
    });
  }

  private get unreleasedProxies(): readonly string[] {
    return this.revocation?.silent ?? [];
  }

  /** Stops replication on the replicas and stores their positions. */
  private async holdReplicas(known: VersionedPrimaryRecord): Promise<void> {
    const missing = this.replicas(known).filter(each => !this.isHeld(each));
    // An instance that was ordered to lead is not stopped by a hold.
    if (this.hasFailedPromotion) {
      await this.sendToAll(missing, {
        kind: CommandKind.StepDown,
        term: this.nextTerm(known),
      });
    }
    const reports = await this.sendToAll(missing, {
      kind: CommandKind.HoldTerm,
      term: this.nextTerm(known),
    });
    if (reports.length > 0) this.lastHeldAtMs = steadyNowMs();
    for (const report of reports) {
      this.reports.set(report.id, report);
      const instance = missing.find(({id}) => id === report.id);
      this.heldIncarnations.set(report.id, instance?.bornAtMs);
    }
  }

  /** Whether an instance is still held. A restart clears the hold. */
  private isHeld({id, bornAtMs}: RegisteredInstance): boolean {
    return this.reports.has(id) && this.heldIncarnations.get(id) === bornAtMs;
  }

  /** Steps the old primary down, if it is reachable. */
  private async stepDownOldPrimary(
    known: VersionedPrimaryRecord,
  ): Promise<void> {
    const old = this.context.directory.find(known.record.primary);
    if (old === undefined) return;
    const [report] = await this.sendToAll([old], {
      kind: CommandKind.StepDown,
      term: this.nextTerm(known),
    });
    if (report === undefined) return;
    this.oldPrimaryReport = report;
    this.lastHeldAtMs = steadyNowMs();
  }

  /** Chooses and promotes candidates until an instance leads. */
  private async promoteUntilSuccess(
    announced: VersionedPrimaryRecord,
  ): Promise<void> {
    let known = announced;
    let loggedReason = '';
    for (;;) {
      await this.holdReplicas(known);
      const choice = chooseTarget({
        replicas: this.candidates(known),
        oldPrimary: this.oldPrimaryReport,
        hasSynchronousReplication: this.hasSynchronousReplication,
        wasPromotionOrdered: this.hasFailedPromotion,
      });
      if (choice.kind === 'promote') {
        await this.awaitViewRevocation();
        if (!this.replicas(known).every(each => this.isHoldIntact(each))) {
          continue;
        }
        const {target, position} = choice;
        if (await this.promote(known.record, target, position)) return;
        known = await this.restartChange(known);
      } else {
        if (choice.reason !== loggedReason) {
          loggedReason = choice.reason;
          this.log('The change of primary waits.', {waitsFor: choice.reason});
        }
        const isOldPrimaryHandled =
          this.oldPrimaryReport !== undefined || this.hasFailedPromotion;
        if (!isOldPrimaryHandled) await this.stepDownOldPrimary(known);
      }
      await sleep(RETRY_DELAY_MS);
      this.assertStillCoordinator();
    }
  }

  /**
   * Restarts the change after a promotion without an observed new primary.
   *
   * The promoted instance may still become primary, and proxies without access
   * to the store may have discovered it. Its term is therefore skipped, and the
   * proxies' views of it have to expire.
   */
  private restartChange(
    known: VersionedPrimaryRecord,
  ): Promise<VersionedPrimaryRecord> {
    this.failedPromotions += 1;
    this.reports.clear();
    this.oldPrimaryReport = undefined;
    return this.announce(known);
  }

  /** Returns the lowest term that no earlier promotion of this change can have started. */
  private nextTerm(known: VersionedPrimaryRecord): number {
    return known.record.term + 1 + this.failedPromotions;
  }

  /** Orders the promotion with a fencing token written for it. Returns whether the target leads. */
  private async promote(
    old: PrimaryRecord,
    target: string,
    lastPosition: LogPosition,
  ): Promise<boolean> {
    const {context, group} = this;
    const sentAt = readClocks();
    const {revision} = await writePrimaryRecord(context, group, {
      term: old.term,
      primary: old.primary,
      phase: PrimaryPhase.Changing,
      isPlanned: old.isPlanned,
      orders: this.failedPromotions + 1,
      target,
      lastPosition,
    });
    if (elapsedMs(sentAt, readClocks()) > TOKEN_VALIDITY_MS) return false;
    const answer = await context.promotions.promote({
      group: group.name,
      instance: target,
      holder: context.self,
      fencingToken: revision,
    });
    this.countStep('ordered');
    this.log('A promotion was ordered.', {target, token: revision, answer});
    const isPossible =
      answer === PromotionResult.Accepted || answer === PromotionResult.Unknown;
    return isPossible && (await this.awaitPromotion(target, old.term));
  }

  /** Waits until the promoted instance is primary. Returns false after the time limit. */
  private async awaitPromotion(id: string, oldTerm: number): Promise<boolean> {
    const deadlineMs = steadyNowMs() + PROMOTION_TIMEOUT_MS;
    while (steadyNowMs() < deadlineMs) {
      const endpoint = this.context.directory.find(id);
      if (endpoint === undefined) return false;
      const report = await this.context.control.sendCommand(endpoint, {
        kind: CommandKind.Status,
      });
      if (report?.isPrimary && report.term > oldTerm) {
        await this.completeChange(report);
        return true;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    return false;
  }

  /** Records the new primary and lets the replicas replicate from it. */
  private async completeChange(leader: ReplicationReport): Promise<void> {
    await writePrimaryRecord(this.context, this.group, {
      term: leader.term,
      primary: leader.id,
      phase: PrimaryPhase.Steady,
    });
    this.countStep('led');
    this.log('Another instance leads.', {
      primary: leader.id,
      term: leader.term,
      tookMs: Math.round(steadyNowMs() - this.beganAtMs),
    });
    const others = this.context.directory
      .findByGroup(this.group.name)
      .filter(({id}) => id !== leader.id);
    await this.sendToAll(others, {kind: CommandKind.ReleaseTerm});
  }

  private async sendToAll(
    instances: readonly RegisteredInstance[],
    command: InstanceCommand,
  ): Promise<ReplicationReport[]> {
    const reports = await Promise.all(
      instances.map(each => this.context.control.sendCommand(each, command)),
    );
    return reports.filter(report => report !== undefined);
  }

  /** Returns every instance that may hold acknowledged commits. The old primary is included only if it may have followed another primary since. */
  private replicas(known: VersionedPrimaryRecord): RegisteredInstance[] {
    const instances = this.context.directory.findByGroup(this.group.name);
    if (this.hasFailedPromotion) return instances;
    return instances.filter(({id}) => id !== known.record.primary);
  }

  /** Whether another instance may have led after the old primary. */
  private get hasFailedPromotion(): boolean {
    return this.failedPromotions > 0;
  }

  /** Whether an instance that reported is still held; a restart requires a new hold. */
  private isHoldIntact(instance: RegisteredInstance): boolean {
    return !this.reports.has(instance.id) || this.isHeld(instance);
  }

  private candidates(known: VersionedPrimaryRecord): PromotionCandidate[] {
    return this.replicas(known).map(({id, isLeaving}) => ({
      id,
      isLeaving,
      report: this.reports.get(id),
    }));
  }

  private get hasSynchronousReplication(): boolean {
    const current = this.context.configuration.current;
    return (
      current?.groups.get(this.group.name)?.hasSynchronousReplication ?? true
    );
  }

  private assertStillCoordinator(): void {
    if (this.context.coordinatorRevision() !== 0) return;
    throw new Error('This proxy no longer coordinates.');
  }

  private countStep(step: 'begun' | 'ordered' | 'led'): void {
    this.context.metrics.increment('sapphireglade_changes_of_primary_total', {
      step,
    });
  }

  private log(
    message: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    this.context.log.info(message, {group: this.group.name, ...fields});
  }
}
