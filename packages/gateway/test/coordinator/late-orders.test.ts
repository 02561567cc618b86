import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import type {
  PrimaryChangeContext,
  VersionedPrimaryRecord,
} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';

/** Calls a function of the test with each record that is applied. */
class ObservedGroup extends DatabaseGroup {
  onRecord: (record: PrimaryRecord) => void = () => undefined;

  override applyRecord(update: VersionedPrimaryRecord): void {
    super.applyRecord(update);
    this.onRecord(update.record);
  }
}

describe('a change of primary beside orders that take effect late', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: ObservedGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  let isCoordinating: boolean;
  let old: MemoryInstance;
  let ordered: MemoryInstance;
  let other: MemoryInstance;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    [old, other, ordered] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new ObservedGroup(GROUP);
    promotions = new GroupPromotions(group);
    isCoordinating = true;
    context = createPrimaryChangeContext({
      self: 'proxy-1',
      state,
      group,
      promotions,
      isCoordinating: () => isCoordinating,
    });
    await commit(old, 'before');
    group.crash(old);
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  /** Commits and acknowledges a write. */
  async function commit(instance: MemoryInstance, id: string): Promise<void> {
    const entry = await group.commit(instance, id);
    group.acknowledged.set(id, {
      atMs: performance.now(),
      position: entry!.position,
    });
  }

  /** Records that the old primary is being replaced, with an order whose result is unknown. */
  function recordOrder(target: string): void {
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Changing,
      orders: 1,
      target,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
  }

  function run(): Promise<void> {
    return new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unfinished,
    ).run();
  }

  // Guards against a choice by positions from before a late order ended the holds.
  it('keeps commits that were acknowledged after a late order ended the holds', async () => {
    recordOrder(ordered.id);
    const change = run();
    while (other.heldTerm === 0 || ordered.heldTerm === 0) await sleep(1);
    // Both have reported; the change waits for the old primary.
    group.promote(ordered.id, 1);
    while (!ordered.isPrimary) await sleep(1);
    await commit(ordered, 'after the late order');
    group.restart(old, Date.now());
    group.partition(old.id, ordered.id);
    await commit(ordered, 'without the old primary');
    await change;
    expect(group.lost).toEqual([]);
    const leader = group.instances.find(({isPrimary}) => isPrimary);
    expect(view.storedRecord?.record.primary).toEqual(leader?.id);
    expect(view.storedRecord?.record.phase).toEqual(PrimaryPhase.Steady);
  });

  it('chooses the instance of an order without a result again, so that the order changes nothing when it arrives', async () => {
    group.restart(old, Date.now());
    old.isPrimary = false;
    recordOrder(ordered.id);
    await run();
    expect(promotions.targets).toEqual([ordered.id]);
  });

  // Guards against a group without a primary after an order made another instance lead.
  it('records an instance that leads by a late order as the primary', async () => {
    group.restart(old, Date.now());
    old.isPrimary = false;
    ordered.isPrimary = true;
    ordered.term = 2;
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    await new PrimaryChange(context, view, PrimaryChangeReason.Unusable).run();
    expect(view.storedRecord?.record.primary).toEqual(ordered.id);
    expect(view.storedRecord?.record.term).toEqual(2);
    expect(promotions.targets).toEqual([]);
  });

  // Guards against a coordinator that ends the holds of the next one.
  it('ends no hold once another proxy coordinates', async () => {
    group.restart(old, Date.now());
    old.isPrimary = false;
    recordOrder(ordered.id);
    view.onRecord = ({phase}) => {
      if (phase !== PrimaryPhase.Steady) return;
      isCoordinating = false;
      // The next coordinator holds the instance.
      other.heldTerm = 9;
    };
    await run();
    expect(other.heldTerm).toEqual(9);
  });
});
