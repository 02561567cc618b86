import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';

const GROUP = 'ledger';

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

const TWO_HOURS_MS = 7_200_000;

describe('a change of primary that waits for instances that are lost', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  let staying: MemoryInstance;
  let returnWithinMs: number;
  let isCoordinating: boolean;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    promotions = new GroupPromotions(group);
    const [primary, remaining, gone] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    staying = remaining;
    returnWithinMs = TWO_HOURS_MS;
    isCoordinating = true;
    const view = new DatabaseGroup(GROUP);
    context = createPrimaryChangeContext({
      self: 'proxy-1',
      state,
      group,
      promotions,
      view,
      registered: [staying],
      returnWithinMs: () => returnWithinMs,
      isCoordinating: () => isCoordinating,
    });
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
      confirmers: {
        instances: [staying, gone].map(({id, bornAtMs}) => ({id, bornAtMs})),
      },
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    primary.isDown = true;
    gone.isDown = true;
    const reason = PrimaryChangeReason.Unusable;
    void new PrimaryChange(context, view, reason).run().catch(() => undefined);
    await sleep(CHANGE_MS);
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  it('promotes nobody while they may return', () => {
    expect(promotions.targets).toEqual([]);
  });

  it('promotes the best one that is left, and reports it, once the time is shortened', async () => {
    returnWithinMs = 1;
    await sleep(CHANGE_MS);

    expect(promotions.targets).toEqual([staying.id]);
    expect(context.metrics.render()).toInclude('step="unverified"');
  });
});
