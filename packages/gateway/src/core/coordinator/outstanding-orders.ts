import type {OutstandingOrder, SentOrder} from '@sapphireglade/decisions';
import {
  fencingTokenOf,
  outstandingOrderOf,
  PrimaryPhase,
} from '@sapphireglade/decisions';
import type {GroupRegistry, VersionedPrimaryRecord} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';

/**
 * How long an order to promote may still arrive after its record was seen, in
 * milliseconds; paths that heal deliver what was sent seconds before.
 */
const ORDER_PENDING_MS = 10_000;

/** An order that this process has seen in a record. */
interface SeenOrder extends OutstandingOrder {
  /** Time of the steady clock, in milliseconds. */
  readonly sinceMs: number;
  /** Whether it is known to have no effect. */
  isVoid: boolean;
  /** What this process knows of it, if it sent the order and has its answer. */
  sent: SentOrder | undefined;
  /** The order before it that may still take effect. */
  before: SeenOrder | undefined;
}

/** Orders to promote that the records of the groups leave without a result, and since when this process has seen them. */
export class OutstandingOrders {
  private readonly seen = new Map<string, SeenOrder>();

  /**
   * @param groups - The groups whose records are observed.
   * @param limitMs - How long an order may still arrive after its record was
   *   seen, in milliseconds.
   */
  constructor(
    groups: Pick<GroupRegistry, 'onGroup'>,
    readonly limitMs = ORDER_PENDING_MS,
  ) {
    groups.onGroup(group =>
      group.records$.subscribe(() => {
        if (group.storedRecord !== undefined)
          this.find(group.name, group.storedRecord);
      }),
    );
  }

  /** Returns the order that a record leaves without a result and that may still take effect. */
  find(
    group: string,
    {record, revision, generation = 0}: VersionedPrimaryRecord,
  ): OutstandingOrder | undefined {
    const order = outstandingOrderOf(
      record,
      fencingTokenOf(generation, revision),
    );
    if (order === undefined) {
      if (record.phase === PrimaryPhase.Steady) this.seen.delete(group);
      return undefined;
    }
    const seen = this.see(group, order);
    const pending = seen.isVoid ? seen.before : seen;
    return pending && this.isPending(pending) ? toOrder(pending) : undefined;
  }

  /** Returns how long this process has known of an order, in milliseconds. */
  knownForMs(group: string, order: OutstandingOrder): number {
    return steadyNowMs() - this.see(group, order).sinceMs;
  }

  /** Returns what this process knows of an order that it has sent itself. */
  findSent(group: string, order: OutstandingOrder): SentOrder | undefined {
    return this.see(group, order).sent;
  }

  /**
   * Handles the end of the call of an order that this process sent. It may take
   * effect later, unless it is void.
   *
   * @param group - Name of the group.
   * @param order - The order.
   * @param sent - What is known of the ordered instance; undefined if the order
   *   has no effect.
   */
  settle(
    group: string,
    order: OutstandingOrder,
    sent: SentOrder | undefined,
  ): void {
    const seen = this.see(group, order);
    seen.sent = sent;
    seen.isVoid = sent === undefined;
  }

  private isPending({sinceMs}: SeenOrder): boolean {
    return steadyNowMs() - sinceMs < this.limitMs;
  }

  private see(group: string, {target, token}: OutstandingOrder): SeenOrder {
    const known = this.seen.get(group);
    if (known?.token === token) return known;
    if (known?.before?.token === token) return known.before;
    const before = known?.isVoid === true ? known.before : known;
    if (before !== undefined) before.before = undefined;
    const order: SeenOrder = {
      target,
      token,
      sinceMs: steadyNowMs(),
      isVoid: false,
      sent: undefined,
      before,
    };
    this.seen.set(group, order);
    return order;
  }
}

function toOrder({target, token}: SeenOrder): OutstandingOrder {
  return {target, token};
}
