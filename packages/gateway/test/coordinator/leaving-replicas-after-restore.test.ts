import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {RESTORE_SETTLE_MS} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {registeredInstance} from '../support/primary-change-context.js';
import {RestoredCoordinator} from '../support/restored-coordinator.js';

const GROUP = 'ledger';

/** Longer than an order of before the restore may be under way in the tests, in milliseconds. */
const ORDER_PENDING_MS = 1_000;

/** Long enough for the recovery of a record, and a change of primary, in milliseconds. */
const RECOVERY_MS = RESTORE_SETTLE_MS + ORDER_PENDING_MS + 2_500;

describe('a leaving replica that is held when the store is restored', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let promotions: GroupPromotions;
  let primary: MemoryInstance;
  let leaving: MemoryInstance;
  let coordinator: RestoredCoordinator;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    promotions = new GroupPromotions(group);
    [primary, leaving] = group.instances as [MemoryInstance, MemoryInstance];
    leaving.heldTerm = 2;
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
    };
    coordinator = new RestoredCoordinator({
      state,
      group,
      promotions,
      record,
      orderPendingMs: ORDER_PENDING_MS,
    });
    coordinator.context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      isLeaving: true,
    });
  });

  afterEach(() => {
    coordinator.close();
    group.close();
    state.close();
  });

  it('does not cost a healthy primary its place', async () => {
    await coordinator.start();
    await sleep(RECOVERY_MS);

    const stored = coordinator.view.storedRecord?.record;
    expect(promotions.targets).toEqual([]);
    expect(primary.isPrimary).toEqual(true);
    expect(stored?.generation).toEqual(state.generation);
    expect(stored?.phase).toEqual(PrimaryPhase.Steady);
    expect(stored?.term).toEqual(1);
    expect(leaving.heldTerm).toEqual(2);
  });

  it('is recorded as the primary if an order of before the restore promotes it meanwhile', async () => {
    const written: PrimaryRecord[] = [];
    coordinator.view.records$.subscribe(({record}) => written.push(record));
    await coordinator.start();
    await sleep(RESTORE_SETTLE_MS);
    group.promote(leaving.id, 1);
    await sleep(RECOVERY_MS);

    expect(written[0]?.primary).toEqual(leaving.id);
    expect(written[0]?.phase).toEqual(PrimaryPhase.Steady);
    expect(group.lost).toEqual([]);
  });
});
