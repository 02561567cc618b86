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
const SELF = 'proxy-1';

/** Time after which the first order takes effect, in milliseconds. */
const EFFECT_MS = 6_000;

/** How long an order without a result may still take effect, in milliseconds. */
const ORDER_PENDING_MS = 7_000;

/** Longer than a change of primary takes, in milliseconds. */
const CHANGE_TIMEOUT_MS = 20_000;

/** Time for the writes after the late order took effect, in milliseconds. */
const WRITES_MS = 300;

describe('a change of primary whose first order has no result', () => {
  let state: MemoryStoreState;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let promotions: LatePromotions;
  let context: PrimaryChangeContext;
  let writer: RecordWriter;
  let change: Promise<void>;
  let isCoordinating: boolean;
  let old: MemoryInstance;
  let ordered: MemoryInstance;
  let other: MemoryInstance;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new ChangingGroup(GROUP, 3);
    [old, ordered, other] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new DatabaseGroup(GROUP);
    isCoordinating = true;
  });

  afterEach(() => {
    isCoordinating = false;
    writer.stop();
    context.control.closeAll();
    group.close();
    state.close();
  });

  /** Records the old primary, and begins to replace it after a crash; the first order was sent then. */
  async function begin(
    effectAfterMs: number,
    result: PromotionResult = PromotionResult.Accepted,
  ): Promise<void> {
    promotions = new LatePromotions(group, [{effectAfterMs, result}]);
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      view,
      orderPendingMs: ORDER_PENDING_MS,
      isCoordinating: () => isCoordinating,
    });
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    writer = new RecordWriter(group, view);
    while (group.acknowledged.size === 0) await sleep(1);
    // The last writes of the old primary are confirmed by nobody.
    group.partition(old.id, ordered.id);
    group.partition(old.id, other.id);
    const {length} = old.log;
    while (old.log.length === length) await sleep(1);
    group.crash(old);
    change = run();
    while (promotions.targets.length === 0) await sleep(1);
    expect(promotions.targets).toEqual([ordered.id]);
  }

  /** Runs a change, for a limited time. */
  function run(): Promise<void> {
    const running = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    ).run();
    const limit = sleep(CHANGE_TIMEOUT_MS, undefined, {ref: false});
    return Promise.race([
      running,
      limit.then(() => {
        throw new Error('The change of primary did not end.');
      }),
    ]);
  }

  /** Restarts the old primary, which the instance that was ordered does not reach. */
  function restartOldPrimary(): void {
    group.restart(old, Date.now());
    group.reconnect(old.id, other.id);
    register(old);
  }

  /** Registers an instance as it is now. */
  function register({id, bornAtMs}: MemoryInstance): void {
    context.directory.register({...registeredInstance(id, GROUP), bornAtMs});
  }

  /** Waits until the first order has taken effect and further writes were sent. */
  async function untilEffect(): Promise<void> {
    await sleep(promotions.sentAtMs[0]! + EFFECT_MS - steadyNowMs());
    await sleep(WRITES_MS);
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

  describe('and takes effect late', () => {
    for (const result of [PromotionResult.Accepted, PromotionResult.Unknown]) {
      it(`orders the same instance again if that reports as before: ${result}`, async () => {
        await begin(EFFECT_MS, result);
        restartOldPrimary();
        await change;
        await untilEffect();
        expectNothingLost();
        expect(new Set(promotions.targets)).toEqual(new Set([ordered.id]));
      });
    }

    it('orders no other instance while the ordered one has restarted', async () => {
      await begin(EFFECT_MS);
      restartOldPrimary();
      group.restartWithLog(ordered);
      register(ordered);
      await Promise.all([change, untilEffect()]);
      expectNothingLost();
      expect(new Set(promotions.targets)).toEqual(new Set([ordered.id]));
    });

    it('orders no other instance while the ordered one does not answer', async () => {
      await begin(EFFECT_MS);
      restartOldPrimary();
      group.partition(SELF, ordered.id);
      await untilEffect();
      expect(promotions.targets).toEqual([ordered.id]);
      group.reconnect(SELF, ordered.id);
      await change;
      expect(promotions.targets).toEqual([ordered.id]);
      expectNothingLost();
    });
  });

  describe('and takes no effect', () => {
    it('orders another instance only once the first order is not expected any more', async () => {
      await begin(Infinity);
      restartOldPrimary();
      group.restartWithLog(ordered);
      register(ordered);
      await change;
      const [first = NaN, second = NaN] = promotions.sentAtMs;
      expect(promotions.targets).toEqual([ordered.id, old.id]);
      expect(second - first >= ORDER_PENDING_MS).toEqual(true);
      expectNothingLost();
    });
  });
});
