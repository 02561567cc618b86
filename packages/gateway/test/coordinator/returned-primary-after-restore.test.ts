import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {recordConfirmers} from '../../src/core/coordinator/record-confirmers.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import {
  DatabaseGroup,
  primaryRecordKey,
  RESTORE_SETTLE_MS,
} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import {RestoredCoordinator} from '../support/restored-coordinator.js';

const GROUP = 'ledger';

/** Long enough for the recovery of a record to begin a change, in milliseconds. */
const RECOVERY_MS = RESTORE_SETTLE_MS + 1_000;

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a primary that is down when the store is restored to a record that lists an instance gone since', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let promotions: GroupPromotions;
  let primary: MemoryInstance;
  let staying: MemoryInstance;
  let gone: MemoryInstance;
  let coordinator: RestoredCoordinator;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    promotions = new GroupPromotions(group);
    [primary, staying, gone] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    await recordAllInstances();
  });

  afterEach(() => {
    coordinator.close();
    group.close();
    state.close();
  });

  /** Writes the record of a steady group with its instances, as a coordinator does before the backup. */
  async function recordAllInstances(): Promise<void> {
    const view = new DatabaseGroup(GROUP);
    const context = createPrimaryChangeContext({
      self: 'proxy-0',
      state,
      group,
      promotions,
      view,
    });
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
      generation: state.generation,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    const {revision, generation} = state;
    view.applyRecord({record, revision, generation});
    await recordConfirmers(context, view);
    context.control.closeAll();
  }

  // Each acknowledged commit is on two instances, and all but one report.
  it('leads again once it is back with its log', async () => {
    const entry = await group.commit(primary, 'write');
    const {position} = entry!;
    group.acknowledged.set('write', {atMs: steadyNowMs(), position});
    gone.isDown = true;
    primary.isDown = true;
    coordinator = new RestoredCoordinator({
      state,
      group,
      promotions,
      registered: [primary, staying],
    });
    await coordinator.start();
    await sleep(RECOVERY_MS);
    primary.isDown = false;
    await sleep(CHANGE_MS);

    expect(promotions.targets.length).toEqual(1);
    expect(group.lost).toEqual([]);
  });
});
