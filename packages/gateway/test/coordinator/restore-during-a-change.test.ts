import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext, Promotion} from '../../src/index.js';
import {
  coordinatorKey,
  DatabaseGroup,
  primaryRecordKey,
} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Restores the store when a promotion is ordered. */
class RestoringPromotions extends GroupPromotions {
  restore: () => void = () => undefined;

  protected override onOrdered(_promotion: Promotion): void {
    this.restore();
  }
}

describe('a change of primary during which the store is restored', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: RestoringPromotions;
  let context: PrimaryChangeContext;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    view = new DatabaseGroup(GROUP);
    promotions = new RestoringPromotions(group);
    const base = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
    });
    const {store} = base;
    context = {
      ...base,
      coordinatorRevision: () =>
        state.items.get(coordinatorKey(store.generation))?.revision ?? 0,
    };
  });

  afterEach(() => {
    context.control.closeAll();
    group.close();
    state.close();
  });

  it('ends, although the same proxy has claimed the coordinator role again', async () => {
    const record: PrimaryRecord = {
      term: 1,
      primary: `${GROUP}-0`,
      phase: PrimaryPhase.Steady,
      generation: state.generation,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    const {revision, generation} = state;
    view.applyRecord({record, revision, generation});
    const backup = state.backup();
    promotions.restore = () => {
      state.restore(backup);
      context.store.observeGeneration(state.generation);
      state.put(coordinatorKey(state.generation), SELF);
      view.onStoreRestored();
      const restored = state.items.get(primaryRecordKey(GROUP))!;
      view.applyRecord({
        record,
        revision: restored.revision,
        generation: state.generation,
      });
    };
    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    );
    const error = await change.run().catch((reason: unknown) => reason);
    expect(error instanceof Error).toEqual(true);
    const stored = state.items.get(primaryRecordKey(GROUP))!.value.toString();
    expect(JSON.parse(stored)).toEqual(record);
  });
});
