import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import type {Promotion} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Long enough for two promotions, in milliseconds. */
const TWO_PROMOTIONS_MS = 8_000;

/** Calls a function of the test at the first promotion. */
class FaultyPromotions extends GroupPromotions {
  constructor(
    group: MemoryGroup,
    private readonly onFirst: (target: string) => void,
  ) {
    super(group);
  }

  protected override onOrdered({instance}: Promotion): void {
    if (this.orders.length === 1) this.onFirst(instance);
  }
}

describe('a change of primary in which two promotions are ordered', () => {
  it('loses no commit acknowledged by the first target, which the coordinator cannot reach', async () => {
    const state = new MemoryStoreState();
    const group = new MemoryGroup(GROUP, 3);
    const [old, first, other] = group.instances;
    const view = new DatabaseGroup(GROUP);
    let isCoordinating = true;
    const promotions = new FaultyPromotions(group, target => {
      expect(target).toEqual(first!.id);
      group.partition(SELF, first!.id);
      group.partition(first!.id, other!.id);
    });
    const context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      isCoordinating: () => isCoordinating,
    });
    const record: PrimaryRecord = {
      term: 1,
      primary: old!.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});

    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    )
      .run()
      .catch((error: Error) => error);
    try {
      while (!first!.isPrimary) await sleep(5);
      // The old primary has stepped down, is not held, and replicates from the
      // target.
      const entry = await group.commit(first!, 'write');
      expect(entry !== undefined).toEqual(true);
      group.acknowledged.set('write', {
        atMs: performance.now(),
        position: entry!.position,
      });
      await sleep(TWO_PROMOTIONS_MS);
    } finally {
      isCoordinating = false;
      await change;
      context.control.closeAll();
      group.close();
      state.close();
    }
    expect(group.lost).toEqual([]);
  });
});
