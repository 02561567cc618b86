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

/** Pause between two looks at something that is waited for, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** How long a planned change waits for proxies to let the primary go, in milliseconds; they let transactions end first, for up to 250 ms. */
const RELEASE_TIMEOUT_MS = 350;

/** Pause before instances that did not report are asked again, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Oldest token with which a promotion is ordered, in milliseconds. */
const TOKEN_VALIDITY_MS = 800;

/** How long a promoted instance may take to lead, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 4_000;

/** Why a primary is replaced. */
export const PrimaryChangeReason = {
  /** The primary cannot be used. */
  Unusable: 'unusable',
  /** The primary is about to leave. */
  Leaving: 'leaving',
  /** Another coordinator began and did not finish. */
  Unfinished: 'unfinished',
} as const;

/** One of the reasons. */
export type PrimaryChangeReason =
  (typeof PrimaryChangeReason)[keyof typeof PrimaryChangeReason];

/**
 * One change of a group's primary, carried out by the coordinator.
 *
 * The order keeps every acknowledged commit: the record takes the old primary
 * out of use everywhere, replicas stop receiving from it, and only then the
 * one with the highest position is promoted.
 */
export class PrimaryChange {
  private readonly reports = new Map<string, ReplicationReport>();
  /** When each instance that was held had started. */
  private readonly heldIncarnations = new Map<string, number | undefined>();
  private oldPrimaryReport: ReplicationReport | undefined;
  private readonly beganAtMs = steadyNowMs();
  /** When an instance was last held back, in milliseconds of the steady clock. */
  private lastHeldAtMs = steadyNowMs();
  /** Promotions that may have been ordered without another instance leading. */
  private failedPromotions = 0;
  private viewRevocation: ViewRevocation | undefined;

  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: DatabaseGroup,
    private readonly reason: PrimaryChangeReason,
  ) {}

  /**
   * Carries the change out.
   *
   * @throws RecordConflictError if another proxy coordinates by now.
   * @throws SapphiregladeError if the store does not answer.
   */
  async run(): Promise<void> {
    const known = this.group.storedRecord;
    if (known === undefined) throw new Error('The group has no record.');
    this.countStep('begun');
    this.log('A change of primary begins.', {reason: this.reason});
    this.failedPromotions = known.record.orders ?? 0;
    if (await this.adoptExistingPrimary(known)) return;
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
      this.viewRevocation?.stop();
    }
  }

  /**
   * Writes that the primary is out of use, and takes it out of use everywhere.
   *
   * It is written again although it stands there if an instance was ordered to
   * lead: proxies may have found that instance, and have to let it go as well.
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
    this.viewRevocation?.stop();
    this.viewRevocation = new ViewRevocation(
      this.context,
      this.group.name,
      known,
    );
    return known;
  }

  /** An earlier coordinator may have promoted an instance already. */
  private async adoptExistingPrimary(
    known: VersionedPrimaryRecord,
  ): Promise<boolean> {
    if (this.reason !== PrimaryChangeReason.Unfinished) return false;
    const answers = await this.sendToAll(this.replicas(known), {
      kind: CommandKind.Status,
    });
    const [leader] = answers
      .filter(({isPrimary, term}) => isPrimary && term > known.record.term)
      .sort((left, right) => right.term - left.term);
    if (leader === undefined) return false;
    await this.completeChange(leader);
    return true;
  }

  /** Waits for a while until every proxy has taken the record in. */
  private async awaitReleases(limitMs: number): Promise<void> {
    const untilMs = steadyNowMs() + limitMs;
    while (this.unreleasedProxies.length > 0 && steadyNowMs() < untilMs) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits until no proxy can use the old primary any more. */
  private async awaitViewRevocation(): Promise<void> {
    const isDone = (): boolean =>
      this.viewRevocation?.isComplete(
        this.lastHeldAtMs,
        this.failedPromotions > 0,
      ) === true;
    while (!isDone()) {
      this.assertStillCoordinator();
      await sleep(POLL_INTERVAL_MS);
    }
    this.log('The old primary is out of use everywhere.', {
      withoutAnswer: this.unreleasedProxies.join(' '),
    });
  }

  private get unreleasedProxies(): readonly string[] {
    return this.viewRevocation?.silent ?? [];
  }

  /** Stops the replicas from receiving, and takes their positions in. */
  private async holdReplicas(known: VersionedPrimaryRecord): Promise<void> {
    const missing = this.replicas(known).filter(
      instance => !this.isHeld(instance),
    );
    // One that was ordered to lead does not stop by being held.
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

  /** An instance that has started again forgets what held it. */
  private isHeld({id, bornAtMs}: RegisteredInstance): boolean {
    return this.reports.has(id) && this.heldIncarnations.get(id) === bornAtMs;
  }

  /** Ends the old primary's lead, if it can be reached. */
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

  /** Chooses and promotes until an instance leads. */
  private async promoteUntilSuccess(
    announced: VersionedPrimaryRecord,
  ): Promise<void> {
    let known = announced;
    let shownReason = '';
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
        if (choice.reason !== shownReason) {
          shownReason = choice.reason;
          this.log('The change of primary waits.', {waitsFor: choice.reason});
        }
        const isAsked =
          this.oldPrimaryReport !== undefined || this.hasFailedPromotion;
        if (!isAsked) await this.stepDownOldPrimary(known);
      }
      await sleep(RETRY_DELAY_MS);
      this.assertStillCoordinator();
    }
  }

  /**
   * An instance that was promoted without being seen to lead may lead yet, and
   * proxies without the store may have found it: its term is passed over, and
   * their views of it have to run out.
   */
  private restartChange(
    known: VersionedPrimaryRecord,
  ): Promise<VersionedPrimaryRecord> {
    this.failedPromotions += 1;
    this.reports.clear();
    this.oldPrimaryReport = undefined;
    return this.announce(known);
  }

  /** The lowest term that no earlier order of this change can have begun. */
  private nextTerm(known: VersionedPrimaryRecord): number {
    return known.record.term + 1 + this.failedPromotions;
  }

  /** Orders the promotion with a token that was written for it. */
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

  /** Waits until the promoted instance leads. */
  private async awaitPromotion(
    target: string,
    oldTerm: number,
  ): Promise<boolean> {
    const limitMs = steadyNowMs() + PROMOTION_TIMEOUT_MS;
    while (steadyNowMs() < limitMs) {
      const endpoint = this.context.directory.find(target);
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

  /** Records the new primary and lets the replicas receive from it. */
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
      instances.map(instance =>
        this.context.control.sendCommand(instance, command),
      ),
    );
    return reports.filter(report => report !== undefined);
  }

  /**
   * Every instance that may hold acknowledged commits, but the old primary
   * unless it may have followed another one since.
   */
  private replicas(known: VersionedPrimaryRecord): RegisteredInstance[] {
    const instances = this.context.directory.findByGroup(this.group.name);
    if (this.hasFailedPromotion) return instances;
    return instances.filter(({id}) => id !== known.record.primary);
  }

  /** Whether an instance may have led since the old primary. */
  private get hasFailedPromotion(): boolean {
    return this.failedPromotions > 0;
  }

  /** A replica that has started again since it was held is held anew first. */
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
    const declared = this.context.configuration.current;
    return (
      declared?.groups.get(this.group.name)?.hasSynchronousReplication ?? true
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
    sentence: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    this.context.log.info(sentence, {group: this.group.name, ...fields});
  }
}
