import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey, steadyNowMs} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** The present term; its primary began with the log of the first term. */
const TERM = 3;

describe('a change of primary beside a former primary with entries of its own', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let context: PrimaryChangeContext;
  let promotions: GroupPromotions;
  let isCoordinating: boolean;
  let complete: MemoryInstance;
  let former: MemoryInstance;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    const [primary, ...replicas] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    [complete, former] = replicas as [MemoryInstance, MemoryInstance];
    view = new DatabaseGroup(GROUP);
    promotions = new GroupPromotions(group);
    isCoordinating = true;
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      view,
      isCoordinating: () => isCoordinating,
      isDirectoryCurrent: sinceMs => steadyNowMs() >= sinceMs,
    });
    group.partition(primary.id, former.id);
    await write(primary, 'first');
    await write(primary, 'second');
    // It led the second term, in which nobody followed it.
    former.term = 2;
    former.log = [
      {position: {term: 2, position: 1}, requestId: 'dropped', changes: []},
    ];
    primary.term = TERM;
    complete.term = TERM;
    const record: PrimaryRecord = {
      term: TERM,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
      initialPosition: primary.position,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    primary.isDown = true;
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  /** Commits a write of a proxy that has stopped since. */
  async function write(
    primary: MemoryInstance,
    requestId: string,
  ): Promise<void> {
    const entry = await group.commit(primary, requestId);
    if (entry === undefined) throw new Error('The write was refused.');
    const {position} = entry;
    group.acknowledged.set(requestId, {atMs: performance.now(), position});
  }

  // Guards against a log that ends in a later term and lacks what the present one began with.
  it('promotes the replica that has every acknowledged commit', async () => {
    await new PrimaryChange(context, view, PrimaryChangeReason.Unusable).run();
    expect(promotions.targets).toEqual([complete.id]);
    expect(group.lost).toEqual([]);
  });
});
