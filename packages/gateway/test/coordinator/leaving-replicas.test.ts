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
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  CoordinatorTask,
  DatabaseGroup,
  primaryRecordKey,
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
const SELF = 'proxy-1';

/** Long enough for a coordinator to check its groups several times, in milliseconds. */
const SEVERAL_CHECKS_MS = 600;

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a replica that has announced that it leaves', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  let task: CoordinatorTask;
  let isCoordinating: boolean;
  let primary: MemoryInstance;
  let leaving: MemoryInstance;
  let staying: MemoryInstance;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    [primary, leaving, staying] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
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
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    task = new CoordinatorTask({
      context: {
        ...context,
        groups: {getOrCreate: () => view} as never,
        knownProxies: {names: []} as never,
        ownersOf: () => [],
      },
      key: {
        get holder() {
          return isCoordinating ? SELF : undefined;
        },
        revision: context.coordinatorRevision(),
      } as never,
      lease: undefined as never,
      holder: SELF,
      isConnected: () => true,
      isUpToDate: () => isCoordinating,
      onRefreshNeeded: () => undefined,
    });
    await task.start();
    context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      isLeaving: true,
    });
    await sleep(SEVERAL_CHECKS_MS);
  });

  afterEach(async () => {
    await stopCoordinating();
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  /** Ends the checks of the groups, so that a test runs a change itself. */
  async function stopCoordinating(): Promise<void> {
    clearInterval((task as unknown as {timer: NodeJS.Timeout}).timer);
    await sleep(0);
  }

  /** Writes, and records the write once it is acknowledged. */
  function write(name: string): void {
    void group.commit(primary, name).then(entry => {
      const {position} = entry!;
      group.acknowledged.set(name, {atMs: steadyNowMs(), position});
    });
  }

  function removeFromDirectory(instance: MemoryInstance): void {
    context.directory.markMissing(instance.id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  // Guards against commits that are gone with the replica that alone confirmed them.
  it('does not confirm commits alone, so that none is lost with its log', async () => {
    group.partition(primary.id, staying.id);
    write('beyond the replica that stays');
    await sleep(SEVERAL_CHECKS_MS);
    await stopCoordinating();
    leaving.isDown = true;
    removeFromDirectory(leaving);
    primary.isDown = true;
    removeFromDirectory(primary);

    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    );
    await Promise.race([change.run().catch(() => undefined), sleep(CHANGE_MS)]);

    expect([...group.acknowledged.keys()]).toEqual([]);
    expect(group.lost).toEqual([]);
    expect(promotions.targets).toEqual([staying.id]);
  });

  it('leaves commits to the replica that stays', async () => {
    write('confirmed by the replica that stays');
    await sleep(SEVERAL_CHECKS_MS);

    expect(group.acknowledged.size).toEqual(1);
    expect(staying.log.length).toEqual(1);
    expect(leaving.log.length).toEqual(0);
  });

  it('is held again after a promotion has ended its hold', async () => {
    leaving.heldTerm = 0;
    await sleep(SEVERAL_CHECKS_MS);

    expect(leaving.heldTerm).toEqual(2);
  });

  it('confirms commits if no other replica is registered', async () => {
    staying.isDown = true;
    context.directory.markMissing(staying.id);
    await sleep(SEVERAL_CHECKS_MS);
    write('confirmed by the only replica');
    await sleep(SEVERAL_CHECKS_MS);

    expect(group.acknowledged.size).toEqual(1);
    expect(leaving.heldTerm).toEqual(0);
  });

  // Guards against a bound by a hold that another coordinator has ended.
  it('is not bounded by a hold from before the role was lost', async () => {
    isCoordinating = false;
    await sleep(SEVERAL_CHECKS_MS);
    leaving.heldTerm = 0;
    group.partition(primary.id, staying.id);
    write('confirmed by the released replica');
    await sleep(SEVERAL_CHECKS_MS);
    expect(group.acknowledged.size).toEqual(1);
    leaving.isDown = true;
    removeFromDirectory(leaving);
    primary.isDown = true;
    removeFromDirectory(primary);
    isCoordinating = true;
    await stopCoordinating();

    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    );
    await Promise.race([change.run().catch(() => undefined), sleep(CHANGE_MS)]);

    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });
});
