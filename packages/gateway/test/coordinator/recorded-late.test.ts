import type {LogPosition, PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

/** Longer than a promotion takes in the in-memory group, in milliseconds. */
const PROMOTED_MS = 150;

describe('a primary that had led for a while before it was recorded', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  let isCoordinating: boolean;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 4);
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
    });
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  function apply(record: PrimaryRecord): void {
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
  }

  function lapse(instance: MemoryInstance): void {
    instance.isDown = true;
    context.directory.markMissing(instance.id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  async function acknowledge(
    leader: MemoryInstance,
    name: string,
  ): Promise<LogPosition> {
    const entry = await group.commit(leader, name);
    const {position} = entry!;
    group.acknowledged.set(name, {atMs: steadyNowMs(), position});
    return position;
  }

  /** Runs a change until it ends, or for a limited time. */
  async function change(reason: PrimaryChangeReason): Promise<void> {
    const run = new PrimaryChange(context, view, reason).run();
    await Promise.race([run.catch(() => undefined), sleep(CHANGE_MS)]);
  }

  // Guards against a proof that lacks an instance which confirmed and went before the record was written.
  it('is not followed by an instance without what a replica confirmed that has gone', async () => {
    const [old, target, confirming, deaf] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    const confirmers = {
      instances: [target, confirming, deaf].map(({id}) => ({id, bornAtMs: 1})),
    };
    apply({term: 1, primary: old.id, phase: PrimaryPhase.Steady, confirmers});
    const lastPosition = await acknowledge(old, 'first');
    lapse(old);
    group.partition(target.id, deaf.id);
    group.promote(target.id, 1);
    apply({
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Changing,
      orders: 1,
      target: target.id,
      lastPosition,
      confirmers,
    });
    await sleep(PROMOTED_MS);
    await acknowledge(target, 'second');
    lapse(confirming);
    await change(PrimaryChangeReason.Unfinished);
    expect(view.record?.record.primary).toEqual(target.id);
    target.isDown = true;

    await change(PrimaryChangeReason.Unusable);

    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });
});
