import type {OutstandingOrder} from '@sapphireglade/decisions';
import {
  fencingTokenOf,
  outstandingOrderOf,
  PrimaryPhase,
} from '@sapphireglade/decisions';
import type {DatabaseGroup, GroupRegistry} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';

/** How long an order is kept after it was first seen, in milliseconds. */
const KEPT_MS = 60_000;

/** Maximum number of orders kept for a group. */
const MAXIMUM_ORDERS = 16;

/** An order to promote without a known result. */
export interface UnresolvedOrder extends OutstandingOrder {
  /** Time since this process has first seen the order, in milliseconds. */
  readonly ageMs: number;
}

/** The orders of one group. */
interface GroupOrders {
  /** The orders, oldest first, with the time of the steady clock at which each was seen, in milliseconds. */
  orders: (OutstandingOrder & {readonly seenAtMs: number})[];
  isChanging: boolean;
}

/**
 * The orders to promote that the records of the groups have named, also those
 * that were superseded by another one. For the log only.
 */
export class OrderHistory {
  private readonly groups = new Map<string, GroupOrders>();

  /** @param groups - The groups whose records are observed. */
  constructor(groups: Pick<GroupRegistry, 'onGroup'>) {
    groups.onGroup(group =>
      group.records$.subscribe(() => this.observe(group)),
    );
  }

  /** Returns the orders of a group without a known result, oldest first. */
  unresolved(group: string): UnresolvedOrder[] {
    const nowMs = steadyNowMs();
    return (this.groups.get(group)?.orders ?? [])
      .map(({target, token, seenAtMs}) => ({
        target,
        token,
        ageMs: nowMs - seenAtMs,
      }))
      .filter(({ageMs}) => ageMs < KEPT_MS);
  }

  /** Handles an order that was refused or not sent, so that it changes nothing. */
  remove(group: string, token: number): void {
    const known = this.groups.get(group);
    if (known === undefined) return;
    known.orders = known.orders.filter(order => order.token !== token);
  }

  private observe({name, storedRecord}: DatabaseGroup): void {
    if (storedRecord === undefined) return;
    const {record, revision, generation = 0} = storedRecord;
    const known = this.groups.get(name) ?? {orders: [], isChanging: false};
    this.groups.set(name, known);
    const wasChanging = known.isChanging;
    known.isChanging = record.phase === PrimaryPhase.Changing;
    if (wasChanging && !known.isChanging) {
      // An earlier order for the same instance may still come.
      const isEffective = known.orders.at(-1)?.target === record.primary;
      if (isEffective) known.orders.pop();
    }
    const token = fencingTokenOf(generation, revision);
    const order = outstandingOrderOf(record, token);
    if (order === undefined) return;
    if (known.orders.some(each => each.token === order.token)) return;
    known.orders.push({...order, seenAtMs: steadyNowMs()});
    known.orders = known.orders.slice(-MAXIMUM_ORDERS);
  }
}
