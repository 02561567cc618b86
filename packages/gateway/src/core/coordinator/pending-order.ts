import type {
  OutstandingOrder,
  PrimaryRecord,
  ReplicationReport,
  SentOrder,
  TargetChoice,
  TargetInputs,
} from '@sapphireglade/decisions';
import {
  chooseOrderedTarget,
  chooseTarget,
  hasOnlyAssumedOrder,
  keptPosition,
  OrderState,
  outstandingOrderState,
  PrimaryPhase,
  restsOnList,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {VersionedPrimaryRecord} from '../groups/index.js';
import {CommandKind} from '../upstream/index.js';
import type {HeldInstances} from './held-instances.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import type {EffectiveOrder, PromotionChoice} from './promotion-orders.js';

/** Interval between two checks whether an instance leads, in milliseconds. */
const POLL_INTERVAL_MS = 100;

/**
 * The order to promote that may still take effect during one change of primary.
 * It was found in the record, sent by another coordinator or by this one before
 * it lost the role, or it was sent by this change and has no observed result.
 *
 * Nobody can take such an order back. Until it has taken effect or is not
 * expected any more, the change neither orders nor records another instance. An
 * order of another coordinator is not even repeated: the first one may be on its
 * way, and would arrive with a lower token.
 */
export class PendingOrder {
  private order: OutstandingOrder | undefined;
  private sent: SentOrder | undefined;
  private record: PrimaryRecord | undefined;
  private isAssumed: true | undefined;

  /**
   * @param context - Dependencies of the change.
   * @param group - Name of the group.
   * @param held - The instances that the change holds.
   * @param assertStillCoordinator - Throws if the change has to end.
   */
  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: string,
    private readonly held: HeldInstances,
    private readonly assertStillCoordinator: () => void,
  ) {}

  /**
   * Reads the order from the record that the change found.
   *
   * @returns The instance that was ordered to lead last, if there is one.
   */
  read(known: VersionedPrimaryRecord): string | undefined {
    const {record} = known;
    const {outstandingOrders} = this.context;
    this.record = record;
    this.order = outstandingOrders.find(this.group, known);
    // The present primary cannot be promoted again to show the result.
    const isChanging = record.phase === PrimaryPhase.Changing;
    this.sent =
      isChanging && this.order !== undefined
        ? outstandingOrders.findSent(this.group, this.order)
        : undefined;
    this.isAssumed =
      hasOnlyAssumedOrder(record, record.orders ?? 0) || undefined;
    return record.target ?? this.order?.target;
  }

  /** Handles an order of this change that may take effect. */
  onSent({order, sent}: EffectiveOrder): void {
    this.order = order;
    this.sent = sent;
  }

  /** Handles that a record of an order was written, which does not say that an earlier one was assumed. */
  onRecorded(): void {
    this.isAssumed = undefined;
  }

  /** What a further record of the change carries. */
  get fields(): Pick<PrimaryRecord, 'outstandingOrder' | 'isOrderAssumed'> {
    return {outstandingOrder: this.pending, isOrderAssumed: this.isAssumed};
  }

  /** The order, while it may still take effect. */
  get pending(): OutstandingOrder | undefined {
    const isPending = this.stateWith(undefined) === OrderState.Pending;
    return isPending ? this.order : undefined;
  }

  /**
   * Waits while an instance leads that the order would replace.
   *
   * @param known - The record that the change found.
   * @returns The report of an instance that leads by an order of an earlier
   *   coordinator, if there is one.
   */
  async findPromoted(
    known: VersionedPrimaryRecord,
  ): Promise<ReplicationReport | undefined> {
    const {term, orders = 0} = known.record;
    // An earlier promotion than the last is followed by the last one.
    const promotedTerm = term + Math.max(1, orders);
    for (;;) {
      const reports = await this.held.sendToAll(this.held.replicas(known), {
        kind: CommandKind.Status,
      });
      const [leader] = reports
        .filter(({isPrimary, term}) => isPrimary && term >= promotedTerm)
        .sort((left, right) => right.term - left.term);
      const pendingTarget = this.pendingTarget ?? leader?.id;
      if (leader === undefined || leader.id === pendingTarget) return leader;
      this.assertStillCoordinator();
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Returns the report of an instance that leads and may be recorded, once the others are held. */
  async findLeader(): Promise<ReplicationReport | undefined> {
    const {pendingTarget, held} = this;
    if (pendingTarget === undefined) return held.leader;
    const endpoint = this.context.directory.find(pendingTarget);
    if (endpoint === undefined) return undefined;
    const report = await this.context.control.sendCommand(endpoint, {
      kind: CommandKind.Status,
    });
    return this.stateWith(report) === OrderState.Effective ? report : undefined;
  }

  /** Chooses the instance to promote. */
  choose(inputs: TargetInputs): TargetChoice {
    const {pendingTarget, sent, context} = this;
    if (pendingTarget === undefined) return chooseTarget(inputs);
    if (sent === undefined) {
      const reason = `an earlier order may still promote ${pendingTarget}`;
      return {kind: 'wait', reason};
    }
    const {bornAtMs} = context.directory.find(pendingTarget) ?? {};
    return chooseOrderedTarget(inputs, sent, bornAtMs);
  }

  /** Returns whether a choice is safe only if the list of instances is complete. */
  restsOnList(inputs: TargetInputs, choice: PromotionChoice): boolean {
    const {pendingTarget, sent} = this;
    const {bornAtMs} = this.context.directory.find(choice.target) ?? {};
    const isRepeated =
      choice.target === pendingTarget &&
      sent !== undefined &&
      keptPosition(inputs, sent, bornAtMs) !== undefined;
    return !isRepeated && restsOnList(inputs, choice);
  }

  private get pendingTarget(): string | undefined {
    return this.pending?.target;
  }

  private stateWith(report: ReplicationReport | undefined): OrderState {
    const {order, record, group, held} = this;
    const {outstandingOrders} = this.context;
    if (order === undefined || record === undefined) return OrderState.Expired;
    return outstandingOrderState({
      order,
      record,
      report,
      wasHeld: held.hasReported(order.target),
      knownForMs: outstandingOrders.knownForMs(group, order),
      limitMs: outstandingOrders.limitMs,
    });
  }
}
