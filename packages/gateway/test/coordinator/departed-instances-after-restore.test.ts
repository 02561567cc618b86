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
import {RESTORE_SETTLE_MS} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {registeredInstance} from '../support/primary-change-context.js';
import {RestoredCoordinator} from '../support/restored-coordinator.js';

const GROUP = 'ledger';

/** Long enough for the recovery of a record, in milliseconds. */
const RECOVERY_MS = RESTORE_SETTLE_MS + 1_000;

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a restored record that lists an instance gone since the backup', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let promotions: GroupPromotions;
  let primary: MemoryInstance;
  let staying: MemoryInstance;
  let gone: MemoryInstance;
  let coordinator: RestoredCoordinator;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    promotions = new GroupPromotions(group);
    [primary, staying, gone] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
      confirmers: {
        instances: [staying, gone].map(({id, bornAtMs}) => ({id, bornAtMs})),
      },
    };
    coordinator = new RestoredCoordinator({
      state,
      group,
      promotions,
      record,
      registered: [primary, staying],
    });
  });

  afterEach(() => {
    coordinator.close();
    group.close();
    state.close();
  });

  async function acknowledgeWrite(name: string): Promise<void> {
    const entry = await group.commit(primary, name);
    const {position} = entry!;
    group.acknowledged.set(name, {atMs: steadyNowMs(), position});
  }

  /** Recovers the record, with a primary that crashes as soon as it is written. */
  async function crashAfterRecovery(): Promise<void> {
    const {context, view} = coordinator;
    view.records$.subscribe(() => {
      primary.isDown = true;
      coordinator.stopChecks();
    });
    await coordinator.start();
    await sleep(RECOVERY_MS);
    expect(view.storedRecord?.record.phase).toEqual(PrimaryPhase.Steady);
    const reason = PrimaryChangeReason.Unusable;
    const change = new PrimaryChange(context, view, reason).run();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);
  }

  it('does not make a change of primary wait for that instance', async () => {
    await acknowledgeWrite('write');
    gone.isDown = true;
    await crashAfterRecovery();

    expect(promotions.targets).toEqual([staying.id]);
    expect(group.lost).toEqual([]);
  });

  it('does not make it wait for an earlier start of an instance either', async () => {
    await acknowledgeWrite('write');
    gone.isDown = true;
    staying.bornAtMs = 2;
    const restarted = registeredInstance(staying.id, GROUP);
    coordinator.context.directory.register({...restarted, bornAtMs: 2});
    await crashAfterRecovery();

    expect(promotions.targets).toEqual([staying.id]);
    expect(group.lost).toEqual([]);
  });

  it('goes on to expect that instance, although its commits are accounted for', async () => {
    gone.isDown = true;
    await crashAfterRecovery();

    const {departures} = coordinator.context;
    const expected = departures.of(GROUP).mayReturn(steadyNowMs());
    expect(expected).toEqual([
      {id: gone.id, bornAtMs: gone.bornAtMs, isBounded: true},
    ]);
  });

  it('makes it wait if that instance may have confirmed a commit that the others lack', async () => {
    group.partition(primary.id, staying.id);
    await acknowledgeWrite('write');
    gone.isDown = true;
    await crashAfterRecovery();

    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });
});
