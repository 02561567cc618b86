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

describe('a primary that is down when the store is restored to a record that lists instances gone since', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let promotions: GroupPromotions;
  let view: DatabaseGroup;
  let coordinator: RestoredCoordinator | undefined;

  beforeEach(() => {
    state = new MemoryStoreState();
    view = new DatabaseGroup(GROUP);
    coordinator = undefined;
  });

  afterEach(() => {
    coordinator?.close();
    group.close();
    state.close();
  });

  /** Creates a group, and records it with its instances as a coordinator does before the backup. */
  async function createGroup(size: number): Promise<MemoryInstance[]> {
    group = new MemoryGroup(GROUP, size);
    promotions = new GroupPromotions(group);
    const instances = [...group.instances];
    await recordInstances(instances, {
      term: 1,
      primary: instances[0]!.id,
      phase: PrimaryPhase.Steady,
      generation: state.generation,
    });
    return instances;
  }

  /** Completes a record by the instances that are registered. */
  async function recordInstances(
    registered: readonly MemoryInstance[],
    record: PrimaryRecord,
  ): Promise<void> {
    const context = createPrimaryChangeContext({
      self: 'proxy-0',
      state,
      group,
      promotions,
      view,
      registered,
    });
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    const {revision, generation} = state;
    view.applyRecord({record, revision, generation});
    await recordConfirmers(context, view);
    context.control.closeAll();
  }

  /** Acknowledges a write that the given replicas receive. */
  async function acknowledge(
    primary: MemoryInstance,
    receivers: readonly MemoryInstance[],
  ): Promise<void> {
    const cutOff = group.instances.filter(
      each => each !== primary && !receivers.includes(each),
    );
    for (const {id} of cutOff) group.partition(primary.id, id);
    const entry = await group.commit(primary, `write-${primary.log.length}`);
    for (const {id} of cutOff) group.reconnect(primary.id, id);
    const {position, requestId} = entry!;
    group.acknowledged.set(requestId, {atMs: steadyNowMs(), position});
  }

  /** Restores the store while the primary is down, and brings it back. */
  async function restore(
    registered: readonly MemoryInstance[],
    onReturn: (primary: MemoryInstance) => void,
  ): Promise<void> {
    const [primary] = registered as [MemoryInstance];
    primary.isDown = true;
    coordinator = new RestoredCoordinator({
      state,
      group,
      promotions,
      registered,
    });
    await coordinator.start();
    await sleep(RECOVERY_MS);
    onReturn(primary);
    await sleep(CHANGE_MS);
    expect(group.lost).toEqual([]);
  }

  function storedRecord(): PrimaryRecord {
    const {value} = state.items.get(primaryRecordKey(GROUP))!;
    return JSON.parse(value.toString()) as PrimaryRecord;
  }

  it('is recorded with its start again once it has led throughout', async () => {
    const [primary, staying, gone] = (await createGroup(3)) as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    await acknowledge(primary, [staying, gone]);
    await acknowledge(primary, [gone]);
    expect(storedRecord().primaryBornAtMs).toEqual(1);
    gone.isDown = true;
    await restore([primary, staying], each => {
      each.isDown = false;
    });

    expect(promotions.targets).toEqual([primary.id]);
    const record = storedRecord();
    expect(record.phase).toEqual(PrimaryPhase.Steady);
    expect(record.primaryBornAtMs).toEqual(1);
    expect(record.isOrderAssumed).toEqual(undefined);
  });

  describe('does not lead', () => {
    it('if it started again without its log', async () => {
      const [primary, staying, gone] = (await createGroup(3)) as [
        MemoryInstance,
        MemoryInstance,
        MemoryInstance,
      ];
      await acknowledge(primary, [staying, gone]);
      await acknowledge(primary, [gone]);
      gone.isDown = true;
      await restore([primary, staying], each => {
        each.log = [...staying.log];
        group.restart(each, 2);
      });

      expect(promotions.targets).toEqual([]);
    });

    it('if it started again, and the store still lists its earlier start', async () => {
      const [primary, staying, gone] = (await createGroup(3)) as [
        MemoryInstance,
        MemoryInstance,
        MemoryInstance,
      ];
      await acknowledge(primary, [staying, gone]);
      await acknowledge(primary, [gone]);
      gone.isDown = true;
      await restore([primary, staying], each => {
        each.log = [...staying.log];
        group.restart(each, 2);
        // It does not reach the store.
        coordinator!.writesEntry = ({id}) => id !== each.id;
      });

      expect(promotions.targets).toEqual([]);
    });

    it('if another instance is gone as well', async () => {
      const [primary, staying, ...gone] = (await createGroup(4)) as [
        MemoryInstance,
        MemoryInstance,
        ...MemoryInstance[],
      ];
      await acknowledge(primary, [staying, ...gone]);
      for (const each of gone) each.isDown = true;
      await restore([primary, staying], each => {
        each.isDown = false;
      });

      expect(promotions.targets).toEqual([]);
    });

    it('if the remaining replica was held for an order', async () => {
      const [primary, staying, gone] = (await createGroup(3)) as [
        MemoryInstance,
        MemoryInstance,
        MemoryInstance,
      ];
      await acknowledge(primary, [staying, gone]);
      staying.heldTerm = 2;
      gone.isDown = true;
      await restore([primary, staying], each => {
        each.isDown = false;
      });

      expect(promotions.targets).toEqual([]);
    });

    it('if it had stepped down for an order', async () => {
      const [primary, staying, gone] = (await createGroup(3)) as [
        MemoryInstance,
        MemoryInstance,
        MemoryInstance,
      ];
      await acknowledge(primary, [staying, gone]);
      primary.isPrimary = false;
      gone.isDown = true;
      await restore([primary, staying], each => {
        each.isDown = false;
      });

      expect(promotions.targets).toEqual([]);
    });
  });

  it('keeps the start that was recorded first when it starts again', async () => {
    const [primary, ...replicas] = await createGroup(3);
    primary!.bornAtMs = 2;
    const joined = {id: 'instance-new', bornAtMs: 5} as MemoryInstance;
    const {confirmers, ...record} = storedRecord();
    await recordInstances([primary!, ...replicas, joined], record);

    expect(confirmers?.instances.length).toEqual(2);
    expect(storedRecord().confirmers?.instances.length).toEqual(3);
    expect(storedRecord().primaryBornAtMs).toEqual(1);
  });
});
