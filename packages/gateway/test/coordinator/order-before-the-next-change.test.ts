import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  DatabaseGroup,
  primaryRecordKey,
  PromotionResult,
  steadyNowMs,
} from '../../src/index.js';
import {ChangingGroup} from '../support/changing-group.js';
import {LatePromotions} from '../support/late-promotions.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {RecordWriter} from '../support/record-writer.js';

const GROUP = 'ledger';

/** Time after which the first order takes effect, in milliseconds. */
const EFFECT_MS = 8_000;

/** How long an order without a result may still take effect, in milliseconds. */
const ORDER_PENDING_MS = 9_000;

/** Longer than a change of primary takes, in milliseconds. */
const CHANGE_TIMEOUT_MS = 20_000;

/** Time for some writes, in milliseconds. */
const WRITES_MS = 300;

/** Time before the effect at which the instances reach each other again, in milliseconds. */
const RECONNECTED_MS = 100;

describe('a change of primary after the primary was ordered twice to lead', () => {
  let state: MemoryStoreState;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let promotions: LatePromotions;
  let writer: RecordWriter;
  let contexts: PrimaryChangeContext[];
  /** Name of the proxy that coordinates. */
  let coordinating: string;
  let old: MemoryInstance;
  let ordered: MemoryInstance;
  let other: MemoryInstance;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new ChangingGroup(GROUP, 3);
    [old, ordered, other] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new DatabaseGroup(GROUP);
    promotions = new LatePromotions(group, [
      {effectAfterMs: EFFECT_MS, result: PromotionResult.Unknown},
    ]);
    contexts = [];
    writer = new RecordWriter(group, view);
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    while (group.acknowledged.size === 0) await sleep(1);
  });

  afterEach(() => {
    coordinating = '';
    writer.stop();
    for (const {control} of contexts) control.closeAll();
    group.close();
    state.close();
  });

  /** Makes a proxy the coordinator. */
  function coordinate(self: string): PrimaryChangeContext {
    coordinating = self;
    const context = createPrimaryChangeContext({
      self,
      state,
      group,
      promotions,
      view,
      orderPendingMs: ORDER_PENDING_MS,
      isCoordinating: () => coordinating === self,
    });
    contexts.push(context);
    return context;
  }

  /** Replaces the primary that is recorded, within a limited time. */
  function replacePrimary(context: PrimaryChangeContext): Promise<void> {
    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    ).run();
    const limit = sleep(CHANGE_TIMEOUT_MS, undefined, {ref: false});
    return Promise.race([
      change,
      limit.then(() => {
        throw new Error('The change of primary did not end.');
      }),
    ]);
  }

  /** Replaces the old primary by two orders; the second one takes effect at once. */
  async function orderTwice(context: PrimaryChangeContext): Promise<void> {
    group.crash(old);
    const change = replacePrimary(context);
    while (promotions.targets.length === 0) await sleep(1);
    group.restart(old, Date.now());
    register(context, old);
    await change;
    expect(promotions.targets).toEqual([ordered.id, ordered.id]);
    expect(view.storedRecord?.record.primary).toEqual(ordered.id);
    await sleep(WRITES_MS);
  }

  /** Registers an instance as it is now. */
  function register(
    {directory}: PrimaryChangeContext,
    {id, bornAtMs}: MemoryInstance,
  ): void {
    directory.register({...registeredInstance(id, GROUP), bornAtMs});
  }

  /** Crashes the new primary, which the others do not reach until its first order takes effect. */
  function crashNewPrimary(): void {
    group.crash(ordered);
    group.partition(ordered.id, old.id);
    group.partition(ordered.id, other.id);
  }

  async function restartNewPrimary(
    context: PrimaryChangeContext,
  ): Promise<void> {
    await sleep(WRITES_MS);
    group.restart(ordered, Date.now());
    group.restartWithLog(ordered);
    register(context, ordered);
  }

  /** Waits until the first order has taken effect and further writes were sent. */
  async function untilEffect(): Promise<void> {
    const atMs = promotions.sentAtMs[0]! + EFFECT_MS;
    await sleep(atMs - RECONNECTED_MS - steadyNowMs());
    group.reconnect(ordered.id, old.id);
    group.reconnect(ordered.id, other.id);
    await sleep(atMs + WRITES_MS - steadyNowMs());
  }

  /** Checks that the recorded primary leads and has every acknowledged commit. */
  function expectNothingLost(): void {
    expect(group.lost).toEqual([]);
    const recorded = view.storedRecord?.record;
    expect(recorded?.phase).toEqual(PrimaryPhase.Steady);
    const leader = group.find(recorded?.primary ?? '');
    expect(leader?.isPrimary).toEqual(true);
    expect(group.missingAt(leader)).toEqual([]);
  }

  for (const [name, next] of [
    ['the same coordinator', 'proxy-1'],
    ['the next coordinator', 'proxy-2'],
  ] as const) {
    it(`orders no other instance while the first order may come: ${name}`, async () => {
      const first = coordinate('proxy-1');
      await orderTwice(first);
      crashNewPrimary();
      const context = next === first.self ? first : coordinate(next);
      const change = replacePrimary(context);
      await restartNewPrimary(context);
      await Promise.all([change, untilEffect()]);
      expectNothingLost();
      expect(new Set(promotions.targets)).toEqual(new Set([ordered.id]));
    });
  }
});
