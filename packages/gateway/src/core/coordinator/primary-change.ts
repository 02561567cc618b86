import type {
  LogPosition,
  PrimaryRecord,
  ReplicationReport,
  PromotionCandidate,
} from '@sapphireglade/decisions';
import {chooseTarget, elapsedMs, PrimaryPhase} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RegisteredInstance} from '../directory/index.js';
import type {DatabaseGroup, KnownRecord} from '../groups/index.js';
import {readClocks, steadyNow} from '../time/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import type {ChangeContext} from './change-context.js';
import {PromotionAnswer} from './promotion-service.js';
import {writeRecord} from './record-writer.js';
import {ViewWithdrawal} from './view-withdrawal.js';

/** Pause between two looks at something that is waited for, in milliseconds. */
const POLL_MS = 25;

/** How long a planned change waits for proxies to let the primary go, in milliseconds; they let transactions end first, for up to 250 ms. */
const DRAIN_TIMEOUT_MS = 350;

/** Pause before instances that did not report are asked again, in milliseconds. */
const ASK_AGAIN_MS = 100;

/** Oldest token with which a promotion is ordered, in milliseconds. */
const TOKEN_VALIDITY_MS = 800;

/** How long a promoted instance may take to lead, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 4_000;

/** Why a primary is replaced. */
export const ChangeReason = {
  /** The primary cannot be used. */
  Unusable: 'unusable',
  /** The primary is about to leave. */
  Leaving: 'leaving',
  /** Another coordinator began and did not finish. */
  Unfinished: 'unfinished',
} as const;

/** One of the reasons. */
export type ChangeReason = (typeof ChangeReason)[keyof typeof ChangeReason];

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
  private oldReport: ReplicationReport | undefined;
  private readonly beganAtMs = steadyNow();
  /** When an instance was last held back, in milliseconds of the steady clock. */
  private heldAtMs = steadyNow();
  /** Promotions that may have been ordered without another instance leading. */
  private failedOrders = 0;
  private withdrawal: ViewWithdrawal | undefined;

  constructor(
    private readonly context: ChangeContext,
    private readonly group: DatabaseGroup,
    private readonly reason: ChangeReason,
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
    this.failedOrders = known.record.orders ?? 0;
    if (await this.adoptExistingPrimary(known)) return;
    try {
      const announced = await this.announce(known);
      if (this.reason === ChangeReason.Leaving) {
        await this.awaitReleases(DRAIN_TIMEOUT_MS);
        await this.stepDown(announced);
      } else {
        await Promise.all([
          this.holdReplicas(announced),
          this.stepDown(announced),
        ]);
      }
      await this.promoteOne(announced);
    } finally {
      this.withdrawal?.stop();
    }
  }

  /**
   * Writes that the primary is out of use, and takes it out of use everywhere.
   *
   * It is written again although it stands there if an instance was ordered to
   * lead: proxies may have found that instance, and have to let it go as well.
   */
  private async announce(old: KnownRecord): Promise<KnownRecord> {
    const {term, primary, phase} = old.record;
    const isWritten = phase === PrimaryPhase.Changing;
    const known =
      isWritten && this.failedOrders === 0
        ? old
        : await writeRecord(this.context, this.group, {
            term,
            primary,
            phase: PrimaryPhase.Changing,
            isPlanned: this.reason === ChangeReason.Leaving,
            orders: this.failedOrders,
          });
    this.withdrawal?.stop();
    this.withdrawal = new ViewWithdrawal(this.context, this.group.name, known);
    return known;
  }

  /** An earlier coordinator may have promoted an instance already. */
  private async adoptExistingPrimary(known: KnownRecord): Promise<boolean> {
    if (this.reason !== ChangeReason.Unfinished) return false;
    const answers = await this.askAll(this.replicas(known), {
      kind: CommandKind.Status,
    });
    const [leader] = answers
      .filter(({isPrimary, term}) => isPrimary && term > known.record.term)
      .sort((left, right) => right.term - left.term);
    if (leader === undefined) return false;
    await this.settle(leader);
    return true;
  }

  /** Waits for a while until every proxy has taken the record in. */
  private async awaitReleases(limitMs: number): Promise<void> {
    const untilMs = steadyNow() + limitMs;
    while (this.silentProxies.length > 0 && steadyNow() < untilMs) {
      await sleep(POLL_MS);
    }
  }

  /** Waits until no proxy can use the old primary any more. */
  private async awaitViews(): Promise<void> {
    const isDone = (): boolean =>
      this.withdrawal?.isComplete(this.heldAtMs, this.failedOrders > 0) ===
      true;
    while (!isDone()) {
      this.checkStillCoordinating();
      await sleep(POLL_MS);
    }
    this.log('The old primary is out of use everywhere.', {
      withoutAnswer: this.silentProxies.join(' '),
    });
  }

  private get silentProxies(): readonly string[] {
    return this.withdrawal?.silent ?? [];
  }

  /** Stops the replicas from receiving, and takes their positions in. */
  private async holdReplicas(known: KnownRecord): Promise<void> {
    const missing = this.replicas(known).filter(
      instance => !this.isHeld(instance),
    );
    // One that was ordered to lead does not stop by being held.
    if (this.wasOrdered) {
      await this.askAll(missing, {
        kind: CommandKind.StepDown,
        term: this.nextTerm(known),
      });
    }
    const reports = await this.askAll(missing, {
      kind: CommandKind.HoldTerm,
      term: this.nextTerm(known),
    });
    if (reports.length > 0) this.heldAtMs = steadyNow();
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
  private async stepDown(known: KnownRecord): Promise<void> {
    const old = this.context.directory.find(known.record.primary);
    if (old === undefined) return;
    const [report] = await this.askAll([old], {
      kind: CommandKind.StepDown,
      term: this.nextTerm(known),
    });
    if (report === undefined) return;
    this.oldReport = report;
    this.heldAtMs = steadyNow();
  }

  /** Chooses and promotes until an instance leads. */
  private async promoteOne(announced: KnownRecord): Promise<void> {
    let known = announced;
    let shownReason = '';
    for (;;) {
      await this.holdReplicas(known);
      const choice = chooseTarget({
        replicas: this.candidates(known),
        oldPrimary: this.oldReport,
        isReplicated: this.isReplicated,
        wasOrdered: this.wasOrdered,
      });
      if (choice.kind === 'promote') {
        await this.awaitViews();
        if (!this.replicas(known).every(each => this.mayBeLeftAsIs(each))) {
          continue;
        }
        const {target, position} = choice;
        if (await this.promote(known.record, target, position)) return;
        known = await this.beginAgain(known);
      } else {
        if (choice.reason !== shownReason) {
          shownReason = choice.reason;
          this.log('The change of primary waits.', {waitsFor: choice.reason});
        }
        const isAsked = this.oldReport !== undefined || this.wasOrdered;
        if (!isAsked) await this.stepDown(known);
      }
      await sleep(ASK_AGAIN_MS);
      this.checkStillCoordinating();
    }
  }

  /**
   * An instance that was promoted without being seen to lead may lead yet, and
   * proxies without the store may have found it: its term is passed over, and
   * their views of it have to run out.
   */
  private beginAgain(known: KnownRecord): Promise<KnownRecord> {
    this.failedOrders += 1;
    this.reports.clear();
    this.oldReport = undefined;
    return this.announce(known);
  }

  /** The lowest term that no earlier order of this change can have begun. */
  private nextTerm(known: KnownRecord): number {
    return known.record.term + 1 + this.failedOrders;
  }

  /** Orders the promotion with a token that was written for it. */
  private async promote(
    old: PrimaryRecord,
    target: string,
    lastPosition: LogPosition,
  ): Promise<boolean> {
    const {context, group} = this;
    const sentAt = readClocks();
    const {revision} = await writeRecord(context, group, {
      term: old.term,
      primary: old.primary,
      phase: PrimaryPhase.Changing,
      isPlanned: old.isPlanned,
      orders: this.failedOrders + 1,
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
      answer === PromotionAnswer.Accepted || answer === PromotionAnswer.Unknown;
    return isPossible && (await this.awaitLead(target, old.term));
  }

  /** Waits until the promoted instance leads. */
  private async awaitLead(target: string, oldTerm: number): Promise<boolean> {
    const limitMs = steadyNow() + PROMOTION_TIMEOUT_MS;
    while (steadyNow() < limitMs) {
      const endpoint = this.context.directory.find(target);
      if (endpoint === undefined) return false;
      const report = await this.context.control.ask(endpoint, {
        kind: CommandKind.Status,
      });
      if (report?.isPrimary && report.term > oldTerm) {
        await this.settle(report);
        return true;
      }
      await sleep(POLL_MS);
    }
    return false;
  }

  /** Records the new primary and lets the replicas receive from it. */
  private async settle(leader: ReplicationReport): Promise<void> {
    await writeRecord(this.context, this.group, {
      term: leader.term,
      primary: leader.id,
      phase: PrimaryPhase.Steady,
    });
    this.countStep('led');
    this.log('Another instance leads.', {
      primary: leader.id,
      term: leader.term,
      tookMs: Math.round(steadyNow() - this.beganAtMs),
    });
    const others = this.context.directory
      .ofGroup(this.group.name)
      .filter(({id}) => id !== leader.id);
    await this.askAll(others, {kind: CommandKind.ReleaseTerm});
  }

  private async askAll(
    instances: readonly RegisteredInstance[],
    command: InstanceCommand,
  ): Promise<ReplicationReport[]> {
    const reports = await Promise.all(
      instances.map(instance => this.context.control.ask(instance, command)),
    );
    return reports.filter(report => report !== undefined);
  }

  /**
   * Every instance that may hold acknowledged commits, but the old primary
   * unless it may have followed another one since.
   */
  private replicas(known: KnownRecord): RegisteredInstance[] {
    const instances = this.context.directory.ofGroup(this.group.name);
    if (this.wasOrdered) return instances;
    return instances.filter(({id}) => id !== known.record.primary);
  }

  /** Whether an instance may have led since the old primary. */
  private get wasOrdered(): boolean {
    return this.failedOrders > 0;
  }

  /** A replica that has started again since it was held is held anew first. */
  private mayBeLeftAsIs(instance: RegisteredInstance): boolean {
    return !this.reports.has(instance.id) || this.isHeld(instance);
  }

  private candidates(known: KnownRecord): PromotionCandidate[] {
    return this.replicas(known).map(({id, isLeaving}) => ({
      id,
      isLeaving,
      report: this.reports.get(id),
    }));
  }

  private get isReplicated(): boolean {
    const declared = this.context.configuration.current;
    return declared?.groups.get(this.group.name)?.isReplicated ?? true;
  }

  private checkStillCoordinating(): void {
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
