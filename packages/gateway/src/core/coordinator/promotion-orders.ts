import type {
  ClockReading,
  OutstandingOrder,
  ReplicationReport,
  SentOrder,
  TargetChoice,
} from '@sapphireglade/decisions';
import {elapsedMs, fencingTokenOf} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RegisteredInstance} from '../directory/index.js';
import type {VersionedPrimaryRecord} from '../groups/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import type {OrderLog} from './order-log.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import {mayTakeEffect} from './promotion-service.js';

/** Maximum age of the fencing token when a promotion is ordered, in milliseconds. */
const TOKEN_VALIDITY_MS = 800;

/** Maximum time for a promoted instance to become primary, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 4_000;

/** Interval between two checks whether the instance leads, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** A choice to promote an instance. */
export type PromotionChoice = Extract<TargetChoice, {kind: 'promote'}>;

/** An order that may take effect. */
export interface EffectiveOrder {
  readonly order: OutstandingOrder;
  readonly sent: SentOrder;
}

/** The record for which an order is sent, and since when its token is valid. */
export interface OrderRecord {
  readonly written: VersionedPrimaryRecord;
  readonly writtenAt: ClockReading;
}

/** Orders to promote the instances of one group. */
export class PromotionOrders {
  /**
   * @param context - Dependencies of the change of primary.
   * @param group - Name of the group.
   * @param orderLog - Logs the orders.
   * @param isStillCoordinator - Returns whether the change may go on.
   */
  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: string,
    private readonly orderLog: OrderLog,
    private readonly isStillCoordinator: () => boolean,
  ) {}

  /**
   * Orders a promotion, with the revision of a record that was written for it as
   * the fencing token.
   *
   * @returns The order; undefined if it has no effect.
   */
  async send(
    {target, position, unverified}: PromotionChoice,
    {written, writtenAt}: OrderRecord,
  ): Promise<EffectiveOrder | undefined> {
    const {context, group} = this;
    const {generation = 0, revision} = written;
    const token = fencingTokenOf(generation, revision);
    const incarnation = context.directory.find(target)?.bornAtMs;
    const ageMs = (): number => elapsedMs(writtenAt, readClocks());
    const order = {target, token};
    this.orderLog.onSending(order);
    const answer = await context.promotions.promote({
      group,
      instance: target,
      holder: context.self,
      fencingToken: token,
      // The store may have been restored since the token was written.
      isValid: () => ageMs() <= TOKEN_VALIDITY_MS && this.isStillCoordinator(),
    });
    context.metrics.increment('sapphireglade_changes_of_primary_total', {
      step: 'ordered',
    });
    this.orderLog.onAnswered(order, answer, ageMs());
    const sent = mayTakeEffect(answer)
      ? {target, incarnation, position, unverified}
      : undefined;
    context.outstandingOrders.settle(group, order, sent);
    return sent && {order, sent};
  }

  /**
   * Waits until an ordered instance is primary.
   *
   * @param target - The instance.
   * @param oldTerm - Term that it must have left.
   * @returns Its report, and its registration; undefined after a time limit, or
   *   if it is not listed any more.
   */
  async awaitLeader(
    target: string,
    oldTerm: number,
  ): Promise<
    | {
        readonly report: ReplicationReport;
        readonly endpoint: RegisteredInstance;
      }
    | undefined
  > {
    const deadlineMs = steadyNowMs() + PROMOTION_TIMEOUT_MS;
    while (steadyNowMs() < deadlineMs && this.isStillCoordinator()) {
      const endpoint = this.context.directory.find(target);
      if (endpoint === undefined) return undefined;
      const report = await this.context.control.sendCommand(endpoint, {
        kind: CommandKind.Status,
      });
      if (report?.isPrimary && report.term > oldTerm) return {report, endpoint};
      await sleep(POLL_INTERVAL_MS);
    }
    return undefined;
  }
}
