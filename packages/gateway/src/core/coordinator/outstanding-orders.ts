import type {OutstandingOrder} from '@sapphireglade/decisions';
import {fencingTokenOf, outstandingOrderOf} from '@sapphireglade/decisions';
import type {GroupRegistry, VersionedPrimaryRecord} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';

/**
 * How long an order to promote may still arrive after its record was seen, in
 * milliseconds; paths that heal deliver what was sent seconds before.
 */
const ORDER_PENDING_MS = 10_000;

/** The newest order of a group that this process has seen in a record. */
interface SeenOrder {
  readonly token: number;
  /** Time of the steady clock, in milliseconds. */
  readonly sinceMs: number;
  /** Whether this process sent the order and has its result. */
  isSettled: boolean;
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

  /** Returns the order that a record leaves without a result, if its result is not known to this process. */
  find(
    group: string,
    {record, revision, generation = 0}: VersionedPrimaryRecord,
  ): OutstandingOrder | undefined {
    const order = outstandingOrderOf(
      record,
      fencingTokenOf(generation, revision),
    );
    if (order === undefined) return undefined;
    return this.see(group, order).isSettled ? undefined : order;
  }

  /** Returns how long this process has known of an order, in milliseconds. */
  knownForMs(group: string, order: OutstandingOrder): number {
    return steadyNowMs() - this.see(group, order).sinceMs;
  }

  /**
   * Handles the end of an order that this process sent: it was answered, or its
   * connection was reset.
   */
  settle(group: string, order: OutstandingOrder): void {
    this.see(group, order).isSettled = true;
  }

  private see(group: string, {token}: OutstandingOrder): SeenOrder {
    const known = this.seen.get(group);
    if (known?.token === token) return known;
    const order = {token, sinceMs: steadyNowMs(), isSettled: false};
    this.seen.set(group, order);
    return order;
  }
}
