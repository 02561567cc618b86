import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {Promotion, PrimaryChangeContext} from '../../src/index.js';
import {
  DatabaseGroup,
  primaryRecordKey,
  PromotionResult,
} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

/** Refuses the first order, which changes nothing. */
class RefusingPromotions extends GroupPromotions {
  refusals = 0;

  override promote(promotion: Promotion): Promise<PromotionResult> {
    if (this.refusals > 0) {
      this.refusals -= 1;
      this.orders.push(promotion);
      return Promise.resolve(PromotionResult.Refused);
    }
    return super.promote(promotion);
  }
}

describe('a change of primary whose order is refused', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: RefusingPromotions;
  let context: PrimaryChangeContext;
  let isCoordinating: boolean;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 4);
    view = new DatabaseGroup(GROUP);
    promotions = new RefusingPromotions(group);
    isCoordinating = true;
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      view,
      isCoordinating: () => isCoordinating,
    });
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  // Fails if an order that changed nothing takes away the proof by the old primary's log.
  it('orders again, also if a replica is silent', async () => {
    const [primary, silent] = group.instances as [
      MemoryInstance,
      MemoryInstance,
    ];
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    const entry = await group.commit(primary, 'write');
    group.acknowledged.set('write', {
      atMs: steadyNowMs(),
      position: entry!.position,
    });
    silent.isDown = true;
    context.directory.markMissing(silent.id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
    promotions.refusals = 1;

    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    );
    await Promise.race([change.run().catch(() => undefined), sleep(CHANGE_MS)]);

    expect(promotions.orders.length).toEqual(2);
    expect(view.record?.record.phase).toEqual(PrimaryPhase.Steady);
    expect(group.lost).toEqual([]);
  });
});
