import type {PrimaryRecord} from '@sapphireglade/decisions';
import {fencingTokenOf, PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';

/** Long enough for a change to order a promotion, in milliseconds. */
const UNTIL_ORDERED_MS = 2_500;

/** Longer than any test, in milliseconds. */
const NEVER_MS = 60_000;

describe('a change of primary that finds an order of another coordinator', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: GroupPromotions;
  /** Name of the proxy that coordinates. */
  let coordinating: string;
  let contexts: PrimaryChangeContext[];
  let old: MemoryInstance;
  let other: MemoryInstance;
  let ordered: MemoryInstance;
  /** Fencing token of the order that was found. */
  let token: number;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    [old, other, ordered] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new DatabaseGroup(GROUP);
    promotions = new GroupPromotions(group);
    contexts = [];
    const entry = await group.commit(old, 'before');
    group.acknowledged.set('before', {
      atMs: performance.now(),
      position: entry!.position,
    });
    old.isPrimary = false;
  });

  afterEach(() => {
    coordinating = '';
    for (const {control} of contexts) control.closeAll();
    group.close();
    state.close();
  });

  /** Records that the old primary is being replaced, by an order without a result. */
  function recordOrder(fields: Partial<PrimaryRecord> = {}): void {
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Changing,
      orders: 1,
      target: ordered.id,
      ...fields,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    const {revision} = state;
    view.applyRecord({record, revision});
    token = fencingTokenOf(0, revision);
  }

  /** Makes a proxy the coordinator. */
  function coordinate(
    self: string,
    orderPendingMs: number,
  ): PrimaryChangeContext {
    coordinating = self;
    const context = createPrimaryChangeContext({
      self,
      state,
      group,
      promotions,
      orderPendingMs,
      isCoordinating: () => coordinating === self,
    });
    contexts.push(context);
    return context;
  }

  function run(context: PrimaryChangeContext): Promise<void> {
    return new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unfinished,
    ).run();
  }

  // Guards against lower tokens and lost commits by an order that a frozen coordinator left on its way.
  it('orders nothing while that one may arrive, and records what it promotes', async () => {
    recordOrder();
    const change = run(coordinate('proxy-1', NEVER_MS));
    await sleep(UNTIL_ORDERED_MS);
    expect(promotions.targets).toEqual([]);
    group.promote(ordered.id, token);
    await change;
    expect(promotions.targets).toEqual([]);
    expect(group.tokens).toEqual([token]);
    expect(group.lost).toEqual([]);
    expect(view.storedRecord?.record.primary).toEqual(ordered.id);
    expect(view.storedRecord?.record.phase).toEqual(PrimaryPhase.Steady);
  });

  // Guards against a second change that no longer knows of the order.
  it('leaves the order in the record for the coordinator after it', async () => {
    recordOrder();
    const first = run(coordinate('proxy-1', NEVER_MS)).catch(
      (error: Error) => error,
    );
    await sleep(UNTIL_ORDERED_MS);
    const second = run(coordinate('proxy-2', NEVER_MS));
    await first;
    await sleep(UNTIL_ORDERED_MS);
    expect(promotions.targets).toEqual([]);
    group.promote(ordered.id, token);
    await second;
    expect(group.tokens).toEqual([token]);
    expect(view.storedRecord?.record.primary).toEqual(ordered.id);
  });

  it('records no other instance that leads while that one may arrive', async () => {
    recordOrder({orders: 2});
    other.isPrimary = true;
    other.term = 3;
    const change = run(coordinate('proxy-1', NEVER_MS));
    await sleep(UNTIL_ORDERED_MS);
    expect(view.storedRecord?.record.phase).toEqual(PrimaryPhase.Changing);
    group.promote(ordered.id, token);
    await change;
    expect(view.storedRecord?.record.primary).toEqual(ordered.id);
  });

  it('orders the same instance again after the limit, if it has every acknowledged commit', async () => {
    recordOrder();
    await run(coordinate('proxy-1', 1));
    expect(promotions.targets).toEqual([ordered.id]);
    expect(group.lost).toEqual([]);
  });

  it('orders at once if it sent the order itself and has its result', async () => {
    recordOrder();
    const context = coordinate('proxy-1', NEVER_MS);
    context.outstandingOrders.settle(
      GROUP,
      {target: ordered.id, token},
      {target: ordered.id, incarnation: 1, position: ordered.position},
    );
    await run(context);
    expect(promotions.targets).toEqual([ordered.id]);
  });
});
