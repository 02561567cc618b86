import type {TargetChoice, TargetInputs} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup, VersionedPrimaryRecord} from '../groups/index.js';
import {REGISTRATION_MS} from '../primary-health/index.js';
import {steadyNowMs} from '../time/index.js';
import {
  includesAcknowledged,
  recordLeastAcknowledged,
} from './acknowledged-commits.js';
import type {HeldInstances} from './held-instances.js';
import type {OrderLog} from './order-log.js';
import type {PendingOrder} from './pending-order.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import type {PromotionChoice} from './promotion-orders.js';
import {TargetChoiceLog} from './target-choice-log.js';

/** Interval between two checks of the directory, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/**
 * Selects the instance to promote in one change of primary.
 *
 * A choice that is made while the old primary may be in use says only that the
 * change can go on. Until then an instance may join or restart, confirm a commit
 * and be missing in all reports. The target is chosen from a survey that begins
 * once no commit can be acknowledged any more.
 */
export class TargetSelection {
  private readonly choices: TargetChoiceLog;
  private loggedReason = '';

  /**
   * @param context - Dependencies of the change.
   * @param group - The group.
   * @param held - The instances that the change holds.
   * @param pendingOrder - The order that may still take effect.
   * @param orderLog - Logs what an order rests on.
   * @param assertStillCoordinator - Throws if the change has to end.
   */
  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: DatabaseGroup,
    private readonly held: HeldInstances,
    private readonly pendingOrder: PendingOrder,
    private readonly orderLog: OrderLog,
    private readonly assertStillCoordinator: () => void,
  ) {
    this.choices = new TargetChoiceLog(context, group);
  }

  /** Returns whether the reports so far allow a choice; logs what the change waits for otherwise. */
  canChoose(known: VersionedPrimaryRecord): boolean {
    const canChoose = this.choose(known, -Infinity).kind === 'promote';
    if (canChoose) this.orderLog.onChoice();
    return canChoose;
  }

  /**
   * Surveys the instances and chooses the target.
   *
   * @param known - The record of the change.
   * @param outOfUseAtMs - When no proxy could use the old primary any more, in
   *   milliseconds of the steady clock.
   * @returns The choice; undefined if there is none, or the instances changed.
   */
  async select(
    known: VersionedPrimaryRecord,
    outOfUseAtMs: number,
  ): Promise<PromotionChoice | undefined> {
    let isListComplete = false;
    for (;;) {
      const choice = await this.survey(known, outOfUseAtMs);
      if (choice === undefined) return undefined;
      const {context, group, held, pendingOrder} = this;
      const sinceMs = held.viewsEndedAtMs ?? outOfUseAtMs;
      const inputs = held.targetInputs(known, sinceMs);
      if (!pendingOrder.restsOnList(inputs, choice)) return choice;
      const {position} = choice;
      const isIncluded = includesAcknowledged(context, group, known, position);
      if (isListComplete && isIncluded) return choice;
      if (isListComplete && this.isSettled(known))
        return this.haveEmptyAnswered(inputs) ? choice : undefined;
      if (isIncluded) await this.awaitList(sinceMs);
      isListComplete = isIncluded || (await this.awaitEntries(known, sinceMs));
    }
  }

  /** Reports that acknowledged commits may be given up. */
  reportUnverified(choice: PromotionChoice): void {
    this.choices.reportUnverified(choice);
  }

  /** Asks every listed instance and chooses by what it answers. */
  private async survey(
    known: VersionedPrimaryRecord,
    outOfUseAtMs: number,
  ): Promise<PromotionChoice | undefined> {
    const [isUnchanged] = await Promise.all([
      this.held.survey(known, outOfUseAtMs),
      this.context.departures.askEarlier(this.group.name),
    ]);
    if (!isUnchanged) {
      this.context.log.info('The instances changed while they were held.', {
        group: this.group.name,
      });
      return undefined;
    }
    const sinceMs = this.held.viewsEndedAtMs ?? outOfUseAtMs;
    const choice = this.choose(known, sinceMs);
    if (choice.kind === 'wait') return undefined;
    // It may have restarted without its log since it answered an earlier survey.
    const {answered = []} = this.held.lastConfirmation ?? {};
    return answered.includes(choice.target) ? choice : undefined;
  }

  /** Chooses by the reports of instances that were asked after a time. */
  private choose(known: VersionedPrimaryRecord, sinceMs: number): TargetChoice {
    recordLeastAcknowledged(this.context, this.group);
    const inputs = this.held.targetInputs(known, sinceMs);
    const choice = this.pendingOrder.choose(inputs);
    this.choices.record(inputs, choice);
    if (choice.kind === 'wait' && choice.reason !== this.loggedReason) {
      this.loggedReason = choice.reason;
      this.context.log.info('The change of primary waits.', {
        group: this.group.name,
        waitsFor: choice.reason,
      });
    }
    return choice;
  }

  /** Whether no report can be of another start of its instance than the list had. */
  private isSettled(known: VersionedPrimaryRecord): boolean {
    const {held} = this;
    return held.viewsEndedAtMs === undefined || held.isSettled(known);
  }

  /**
   * Whether every instance with an empty log has answered the last survey. One that
   * is silent may have started twice, and the list never had the start that reported.
   */
  private haveEmptyAnswered({replicas}: TargetInputs): boolean {
    const {answered = []} = this.held.lastConfirmation ?? {};
    return replicas.every(
      ({id, report}) =>
        report === undefined ||
        report.received.position > 0 ||
        answered.includes(id),
    );
  }

  /**
   * Waits until the list has every instance that started before the old primary
   * went out of use, and shows of which start each report is. Ends early if it
   * shows a start that has not reported.
   *
   * @param known - The record of the change.
   * @param outOfUseAtMs - When the old primary went out of use, in milliseconds
   *   of the steady clock.
   * @returns Whether the list is complete.
   */
  private async awaitEntries(
    known: VersionedPrimaryRecord,
    outOfUseAtMs: number,
  ): Promise<boolean> {
    const {held} = this;
    if (held.viewsEndedAtMs === undefined) {
      // An instance that has restarted answers under its former start until then.
      const settledAtMs = Math.max(outOfUseAtMs, held.lastHeldAtMs);
      await this.awaitList(settledAtMs + REGISTRATION_MS);
      return true;
    }
    const isListedSince = (timeMs: number): boolean =>
      this.isListRequestedAfter(timeMs + REGISTRATION_MS);
    for (;;) {
      const isAnyNew = held.settle(known, isListedSince);
      const isComplete = isListedSince(outOfUseAtMs);
      if (isAnyNew || (isComplete && held.isSettled(known))) return isComplete;
      this.assertStillCoordinator();
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits for a list of the instances that was requested after a time of the steady clock. */
  private async awaitList(sinceMs: number): Promise<void> {
    while (!this.isListRequestedAfter(sinceMs)) {
      this.assertStillCoordinator();
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Returns whether the list of the instances was requested after a time of the steady clock; requests it otherwise. */
  private isListRequestedAfter(timeMs: number): boolean {
    const {isDirectoryCurrent, refreshDirectory} = this.context;
    const isCurrent = isDirectoryCurrent(timeMs);
    if (!isCurrent && steadyNowMs() >= timeMs) refreshDirectory();
    return isCurrent;
  }
}
