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

/** Time of the second start of an instance, in Unix milliseconds. */
const RESTARTED_AT_MS = 2;

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a leaving replica that restarted without its log before it was held', () => {
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
      orderPendingMs: 0,
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
      isUpToDate: (sinceMs: number) =>
        isCoordinating && steadyNowMs() >= sinceMs,
      onRefreshNeeded: () => undefined,
    });
    await task.start();
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

  // Guards against a bound by the log of the next start, whose entry is late.
  it('is not bounded by the hold of its next start', async () => {
    group.partition(primary.id, staying.id);
    write('confirmed before the hold');
    await sleep(SEVERAL_CHECKS_MS);
    expect(group.acknowledged.size).toEqual(1);
    group.crash(leaving);
    leaving.log = [];
    group.restart(leaving, RESTARTED_AT_MS);
    group.partition(primary.id, leaving.id);
    // The entry is that of the former start.
    context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      isLeaving: true,
    });
    await sleep(SEVERAL_CHECKS_MS);
    expect(leaving.heldTerm).toEqual(2);
    context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      bornAtMs: RESTARTED_AT_MS,
    });
    primary.isDown = true;
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
