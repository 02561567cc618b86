import type {
  OutstandingOrder,
  PrimaryRecord,
  ReplicationReport,
  TargetChoice,
  TargetInputs,
} from '@sapphireglade/decisions';
import {
  chooseTarget,
  hasOnlyAssumedOrder,
  OrderState,
  outstandingOrderState,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {VersionedPrimaryRecord} from '../groups/index.js';
import {CommandKind} from '../upstream/index.js';
import type {HeldInstances} from './held-instances.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/** Interval between two checks whether an instance leads, in milliseconds. */
const POLL_INTERVAL_MS = 100;

/**
 * The order to promote that one change of primary found in the record, sent by
 * another coordinator or by this one before it lost the role.
 *
 * Nobody can take such an order back. Until it has taken effect or is not
 * expected any more, the change neither orders another promotion nor records
 * another instance as the primary.
 */
export class EarlierOrder {
  private order: OutstandingOrder | undefined;
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
    this.record = record;
    this.order = this.context.outstandingOrders.find(this.group, known);
    this.isAssumed =
      hasOnlyAssumedOrder(record, record.orders ?? 0) || undefined;
    return record.target ?? record.outstandingOrder?.target;
  }

  /** Handles a record of an order by this change, which names the order no more. */
  onSuperseded(): void {
    this.order = undefined;
    this.isAssumed = undefined;
  }

  /** What a further record of the change carries. */
  get fields(): Pick<PrimaryRecord, 'outstandingOrder' | 'isOrderAssumed'> {
    return {outstandingOrder: this.order, isOrderAssumed: this.isAssumed};
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

  /** Chooses the instance to promote, if none can be promoted by the order. */
  choose(inputs: TargetInputs): TargetChoice {
    const {pendingTarget} = this;
    if (pendingTarget === undefined) return chooseTarget(inputs);
    const reason = `an earlier order may still promote ${pendingTarget}`;
    return {kind: 'wait', reason};
  }

  /** The ordered instance, while the order may still take effect. */
  private get pendingTarget(): string | undefined {
    const isPending = this.stateWith(undefined) === OrderState.Pending;
    return isPending ? this.order?.target : undefined;
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
