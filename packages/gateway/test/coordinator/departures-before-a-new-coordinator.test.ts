import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  CoordinatorTask,
  DatabaseGroup,
  primaryRecordKey,
  RESTORE_SETTLE_MS,
} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const FIRST = 'proxy-1';
const SECOND = 'proxy-2';

/** Long enough for a coordinator to check its groups several times, in milliseconds. */
const SEVERAL_CHECKS_MS = 600;

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a coordinator that began after the replica that confirmed commits was gone', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let promotions: GroupPromotions;
  let primary: MemoryInstance;
  let confirming: MemoryInstance;
  let behind: MemoryInstance;
  let coordinating: string;
  let contexts: PrimaryChangeContext[];

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    promotions = new GroupPromotions(group);
    [primary, confirming, behind] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    contexts = [];
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    group.partition(primary.id, behind.id);
    group.partition(confirming.id, behind.id);
  });

  afterEach(() => {
    coordinating = '';
    for (const {control} of contexts) control.closeAll();
    group.close();
    state.close();
  });

  /** Makes a proxy the coordinator; it knows the store and the directory of now. */
  function beginCoordinating(
    self: string,
    registered: readonly MemoryInstance[],
  ): {view: DatabaseGroup; context: PrimaryChangeContext} {
    const view = new DatabaseGroup(GROUP);
    coordinating = self;
    const context = createPrimaryChangeContext({
      self,
      state,
      group,
      promotions,
      view,
      registered,
      isCoordinating: () => coordinating === self,
    });
    contexts.push(context);
    const item = state.items.get(primaryRecordKey(GROUP));
    if (item !== undefined) {
      const record = JSON.parse(item.value.toString()) as PrimaryRecord;
      const {generation} = record;
      view.applyRecord({record, revision: item.revision, generation});
    }
    return {view, context};
  }

  /** Lets a coordinator check the group while something happens, and ends it. */
  async function coordinateWhile(
    {view, context}: {view: DatabaseGroup; context: PrimaryChangeContext},
    action: () => Promise<void> | void,
  ): Promise<void> {
    const {self} = context;
    const task = new CoordinatorTask({
      context: {
        ...context,
        groups: {getOrCreate: () => view} as never,
        knownProxies: {names: []} as never,
        ownersOf: () => [],
      },
      key: {holder: self, revision: context.coordinatorRevision()} as never,
      lease: undefined as never,
      holder: self,
      isConnected: () => true,
      isUpToDate: () => true,
      onRefreshNeeded: () => undefined,
    });
    await task.start();
    await sleep(SEVERAL_CHECKS_MS);
    await action();
    await sleep(SEVERAL_CHECKS_MS);
    coordinating = '';
    await task.stop(0);
  }

  async function acknowledgeWrite(name: string): Promise<void> {
    const entry = await group.commit(primary, name);
    group.acknowledged.set(name, {
      atMs: steadyNowMs(),
      position: entry!.position,
    });
  }

  function announceLeave(
    {directory}: PrimaryChangeContext,
    {id}: MemoryInstance,
  ): void {
    const registration = registeredInstance(id, GROUP);
    directory.register({...registration, isLeaving: true});
  }

  function removeFromDirectory(
    {directory}: PrimaryChangeContext,
    instance: MemoryInstance,
  ): void {
    directory.markMissing(instance.id);
    directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  /** Runs a change until it ends, or for a limited time. */
  async function replacePrimary({
    view,
    context,
  }: {
    view: DatabaseGroup;
    context: PrimaryChangeContext;
  }): Promise<void> {
    const reason = PrimaryChangeReason.Unusable;
    const change = new PrimaryChange(context, view, reason).run();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);
  }

  it('waits for the old primary if that replica left with its log', async () => {
    const first = beginCoordinating(FIRST, group.instances);
    await coordinateWhile(first, async () => {
      await acknowledgeWrite('write');
      group.partition(FIRST, primary.id);
      confirming.isDown = true;
      removeFromDirectory(first.context, confirming);
    });
    primary.isDown = true;
    await replacePrimary(beginCoordinating(SECOND, [primary, behind]));
    expect(promotions.targets).toEqual([]);

    primary.isDown = false;
    await sleep(CHANGE_MS);
    expect(promotions.targets).toEqual([primary.id]);
    expect(group.lost).toEqual([]);
  });

  it('waits for the old primary if that replica started again without its log', async () => {
    const first = beginCoordinating(FIRST, group.instances);
    await coordinateWhile(first, async () => {
      await acknowledgeWrite('write');
      group.partition(FIRST, primary.id);
      group.partition(primary.id, confirming.id);
      confirming.log = [];
      confirming.bornAtMs = 2;
      const registration = registeredInstance(confirming.id, GROUP);
      first.context.directory.register({...registration, bornAtMs: 2});
    });
    primary.isDown = true;
    await replacePrimary(beginCoordinating(SECOND, group.instances));
    expect(promotions.targets).toEqual([]);

    primary.isDown = false;
    await sleep(CHANGE_MS);
    expect(promotions.targets).toEqual([primary.id]);
    expect(group.lost).toEqual([]);
  });

  it('promotes no replica that lacks what the primary had after the departure', async () => {
    const first = beginCoordinating(FIRST, group.instances);
    await coordinateWhile(first, async () => {
      await acknowledgeWrite('write');
      confirming.isDown = true;
      removeFromDirectory(first.context, confirming);
    });
    primary.isDown = true;
    await replacePrimary(beginCoordinating(SECOND, [primary, behind]));
    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });

  it('does not wait if a replica has what the primary had after the departure', async () => {
    const first = beginCoordinating(FIRST, group.instances);
    group.reconnect(primary.id, behind.id);
    await coordinateWhile(first, async () => {
      await acknowledgeWrite('write');
      confirming.isDown = true;
      removeFromDirectory(first.context, confirming);
    });
    primary.isDown = true;
    await replacePrimary(beginCoordinating(SECOND, [primary, behind]));
    expect(promotions.targets).toEqual([behind.id]);
    expect(group.lost).toEqual([]);
  });

  it('promotes no replica that lacks what the primary had when it was first recorded', async () => {
    await acknowledgeWrite('write');
    state.remove(primaryRecordKey(GROUP));
    confirming.isDown = true;
    const first = beginCoordinating(FIRST, [primary, behind]);
    // The directory has to settle before a first record is written.
    await sleep(RESTORE_SETTLE_MS);
    await coordinateWhile(first, () => {
      expect(first.view.record?.record.primary).toEqual(primary.id);
      primary.isDown = true;
    });
    await replacePrimary(beginCoordinating(SECOND, [primary, behind]));
    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });

  // Guards against a promotion that rests on lapsed entries alone.
  it('waits if it did not see how the replica and the old primary went', async () => {
    const first = beginCoordinating(FIRST, group.instances);
    await coordinateWhile(first, async () => {
      await acknowledgeWrite('write');
      group.partition(FIRST, primary.id);
      confirming.isDown = true;
      removeFromDirectory(first.context, confirming);
    });
    primary.isDown = true;
    const second = beginCoordinating(SECOND, [behind]);
    await replacePrimary(second);
    expect(promotions.targets).toEqual([]);

    primary.isDown = false;
    second.context.directory.register(registeredInstance(primary.id, GROUP));
    await sleep(CHANGE_MS);
    expect(promotions.targets).toEqual([primary.id]);
    expect(group.lost).toEqual([]);
  });

  it('reports what may be missing, if the record says that those who left had announced it', async () => {
    const first = beginCoordinating(FIRST, group.instances);
    await coordinateWhile(first, async () => {
      await acknowledgeWrite('write');
      group.partition(FIRST, primary.id);
      announceLeave(first.context, confirming);
      await sleep(SEVERAL_CHECKS_MS);
      confirming.isDown = true;
      removeFromDirectory(first.context, confirming);
    });
    primary.isDown = true;
    const second = beginCoordinating(SECOND, [primary, behind]);
    announceLeave(second.context, primary);
    removeFromDirectory(second.context, primary);
    await replacePrimary(second);
    expect(promotions.targets).toEqual([behind.id]);
    expect(second.context.metrics.render()).toInclude('step="unverified"');
  });
});
