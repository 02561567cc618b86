import {afterEach, beforeEach, describe, it} from 'node:test';
import {PrimaryPhase} from '@sapphireglade/decisions';
import type {PrimaryRecord} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../src/core/coordinator/primary-change.js';
import type {ChangeContext, Promotion} from '../src/index.js';
import {
  CoordinatorTask,
  DatabaseGroup,
  PromotionResult,
  PromotionService,
  primaryRecordKey,
} from '../src/index.js';
import {readClocks} from '../src/core/time/index.js';
import {createPrimaryChangeContext} from './support/primary-change-context.js';
import {MemoryGroup} from './support/memory-group.js';
import {MemoryStoreState} from './support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Long enough for a coordinator to look at its groups a few times, in milliseconds. */
const SEVERAL_CHECKS_MS = 600;

/** Keeps the orders, and carries them out. */
class RecordingPromotions extends PromotionService {
  readonly orders: Promotion[] = [];
  /** Terms at which each replica was held when the order came. */
  heldTerms: readonly number[] = [];

  constructor(private readonly group: MemoryGroup) {
    super();
  }

  override promote(promotion: Promotion): Promise<PromotionResult> {
    this.orders.push(promotion);
    this.heldTerms = this.group.instances
      .slice(1)
      .map(({heldTerm}) => heldTerm);
    this.group.promote(promotion.instance, promotion.fencingToken);
    return Promise.resolve(PromotionResult.Accepted);
  }
}

describe('PrimaryChange that another coordinator began', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: RecordingPromotions;
  let context: ChangeContext;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    view = new DatabaseGroup(GROUP);
    promotions = new RecordingPromotions(group);
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
    });
  });

  afterEach(() => {
    context.control.closeAll();
    group.close();
    state.close();
  });

  /** Lets the record be what the earlier coordinator has left behind. */
  function leave(record: PrimaryRecord): number {
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    return state.revision;
  }

  function goOn(): Promise<void> {
    return new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unfinished,
    ).run();
  }

  const announced: PrimaryRecord = {
    term: 1,
    primary: `${GROUP}-0`,
    phase: PrimaryPhase.Changing,
  };

  it('goes on with a change in which nothing was ordered', async () => {
    const left = leave(announced);
    await goOn();
    expect(promotions.orders.length).toEqual(1);
    expect(promotions.heldTerms).toEqual([2, 2]);
    expect(view.record?.record.phase).toEqual(PrimaryPhase.Steady);
    expect((promotions.orders[0]?.fencingToken ?? 0) > left).toEqual(true);
  });

  it('adopts the instance that the earlier order has made the primary', async () => {
    leave({...announced, orders: 1, target: `${GROUP}-1`});
    group.instances[0]!.isPrimary = false;
    group.instances[1]!.isPrimary = true;
    group.instances[1]!.term = 2;
    await goOn();
    expect(promotions.orders).toEqual([]);
    expect(view.record?.record.primary).toEqual(`${GROUP}-1`);
  });

  it('adopts it as well if this proxy has found it to lead by itself', async () => {
    leave({...announced, orders: 1, target: `${GROUP}-1`});
    group.instances[0]!.isPrimary = false;
    group.instances[1]!.isPrimary = true;
    group.instances[1]!.term = 2;
    view.adoptPrimary(2, `${GROUP}-1`, readClocks());
    const coordinator = new CoordinatorTask({
      context: {
        ...context,
        groups: {ensure: () => view} as never,
        ownersOf: () => [],
      },
      key: {holder: SELF, revision: context.coordinatorRevision()} as never,
      lease: undefined as never,
      holder: SELF,
      isConnected: () => true,
      isUpToDate: () => true,
      onRefreshNeeded: () => undefined,
    });
    await coordinator.start();
    await sleep(SEVERAL_CHECKS_MS);
    await coordinator.stop(0);
    const stored = state.items.get(primaryRecordKey(GROUP))?.value.toString();
    expect(JSON.parse(stored ?? '{}')).toEqual({
      term: 2,
      primary: `${GROUP}-1`,
      phase: PrimaryPhase.Steady,
    });
    expect(promotions.orders).toEqual([]);
  });

  it('adopts the instance of the highest term if several lead', async () => {
    leave({...announced, orders: 2, target: `${GROUP}-2`});
    for (const [index, instance] of group.instances.entries()) {
      instance.isPrimary = index > 0;
      instance.term = index + 1;
    }
    await goOn();
    expect(view.record?.record.primary).toEqual(`${GROUP}-2`);
  });

  it('passes over the term that the earlier order may have begun', async () => {
    leave({...announced, orders: 1, target: `${GROUP}-1`});
    await goOn();
    expect(promotions.orders.length).toEqual(1);
    expect(promotions.heldTerms).toEqual([3, 3]);
  });

  it('announces the change anew, so that proxies let go of what that order began', async () => {
    const left = leave({...announced, orders: 1, target: `${GROUP}-1`});
    const seen: PrimaryRecord[] = [];
    view.records$.subscribe(({record, revision}) => {
      if (revision > left) seen.push(record);
    });
    await goOn();
    expect(seen[0]?.phase).toEqual(PrimaryPhase.Changing);
    expect(seen[0]?.target).toEqual(undefined);
    expect(seen[0]?.orders).toEqual(1);
    expect(seen[1]?.orders).toEqual(2);
  });
});
