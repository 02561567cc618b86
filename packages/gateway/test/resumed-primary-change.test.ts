import {afterEach, beforeEach, describe, it} from 'node:test';
import {PrimaryPhase} from '@sapphireglade/decisions';
import type {PrimaryRecord} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../src/index.js';
import {
  CoordinatorTask,
  DatabaseGroup,
  primaryRecordKey,
} from '../src/index.js';
import {readClocks} from '../src/core/time/index.js';
import {GroupPromotions} from './support/group-promotions.js';
import {createPrimaryChangeContext} from './support/primary-change-context.js';
import {MemoryGroup} from './support/memory-group.js';
import {MemoryStoreState} from './support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/**
 * Long enough for a coordinator to check its groups several times, in
 * milliseconds.
 */
const SEVERAL_CHECKS_MS = 600;

/** Records the terms at which the replicas were held. */
class RecordingPromotions extends GroupPromotions {
  /**
   * Terms at which the replicas were held when the last promotion was ordered.
   */
  heldTerms: readonly number[] = [];

  protected override onOrdered(): void {
    this.heldTerms = this.group.instances
      .slice(1)
      .map(({heldTerm}) => heldTerm);
  }
}

describe('PrimaryChange started by another coordinator', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: RecordingPromotions;
  let context: PrimaryChangeContext;

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

  /** Stores the record that the earlier coordinator wrote last. */
  function storeRecord(record: PrimaryRecord): number {
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    return state.revision;
  }

  function resume(): Promise<void> {
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

  it('resumes a change in which no promotion was ordered', async () => {
    const storedRevision = storeRecord(announced);
    await resume();
    expect(promotions.orders.length).toEqual(1);
    expect(promotions.heldTerms).toEqual([2, 2]);
    expect(view.record?.record.phase).toEqual(PrimaryPhase.Steady);
    expect((promotions.orders[0]?.fencingToken ?? 0) > storedRevision).toEqual(
      true,
    );
  });

  it('adopts the instance that the earlier promotion made the primary', async () => {
    storeRecord({...announced, orders: 1, target: `${GROUP}-1`});
    group.instances[0]!.isPrimary = false;
    group.instances[1]!.isPrimary = true;
    group.instances[1]!.term = 2;
    await resume();
    expect(promotions.orders).toEqual([]);
    expect(view.record?.record.primary).toEqual(`${GROUP}-1`);
  });

  it('adopts it as well if this proxy has discovered it as primary by itself', async () => {
    storeRecord({...announced, orders: 1, target: `${GROUP}-1`});
    group.instances[0]!.isPrimary = false;
    group.instances[1]!.isPrimary = true;
    group.instances[1]!.term = 2;
    view.adoptPrimary(2, `${GROUP}-1`, readClocks());
    const coordinator = new CoordinatorTask({
      context: {
        ...context,
        groups: {getOrCreate: () => view} as never,
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
      generation: state.generation,
      initialPosition: {term: 1, position: 0},
      confirmers: {
        instances: [
          {id: `${GROUP}-0`, bornAtMs: 1},
          {id: `${GROUP}-2`, bornAtMs: 1},
        ],
      },
    });
    expect(promotions.orders).toEqual([]);
  });

  it('adopts the instance of the highest term if several are primary', async () => {
    storeRecord({...announced, orders: 2, target: `${GROUP}-2`});
    for (const [index, instance] of group.instances.entries()) {
      instance.isPrimary = index > 0;
      instance.term = index + 1;
    }
    await resume();
    expect(view.record?.record.primary).toEqual(`${GROUP}-2`);
  });

  it('adopts no instance that an earlier promotion than the last made the primary', async () => {
    storeRecord({...announced, orders: 2, target: `${GROUP}-2`});
    group.instances[0]!.isPrimary = false;
    group.instances[1]!.isPrimary = true;
    group.instances[1]!.term = 2;
    await resume();
    expect(promotions.orders.length).toEqual(1);
  });

  it('skips the term that the earlier promotion may have started', async () => {
    storeRecord({...announced, orders: 1, target: `${GROUP}-1`});
    await resume();
    expect(promotions.orders.length).toEqual(1);
    expect(promotions.heldTerms).toEqual([3, 3]);
  });

  it('announces the change again, so that proxies release the primary of the earlier promotion', async () => {
    const storedRevision = storeRecord({
      ...announced,
      orders: 1,
      target: `${GROUP}-1`,
    });
    const announcedRecords: PrimaryRecord[] = [];
    view.records$.subscribe(({record, revision}) => {
      if (revision > storedRevision) announcedRecords.push(record);
    });
    await resume();
    expect(announcedRecords[0]?.phase).toEqual(PrimaryPhase.Changing);
    expect(announcedRecords[0]?.target).toEqual(undefined);
    expect(announcedRecords[0]?.orders).toEqual(1);
    expect(announcedRecords[1]?.orders).toEqual(2);
  });
});
