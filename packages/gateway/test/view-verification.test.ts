import {PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {GroupRegistry} from '../src/index.js';
import {
  DatabaseGroup,
  InstancePool,
  readClocks,
  VIEW_VALIDITY_MS,
  ViewVerificationTask,
} from '../src/index.js';
import {ChangingGroup} from './support/changing-group.js';
import {MemoryConnector} from './support/memory-connector.js';
import type {MemoryInstance} from './support/memory-group.js';
import {registeredInstance} from './support/primary-change-context.js';

const GROUP = 'ledger';

/** Interval at which the pools are maintained, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 20;

/** Time after which the view has ended unless it was extended, in milliseconds. */
const UNTIL_ENDED_MS = 2 * VIEW_VALIDITY_MS;

describe('ViewVerificationTask', () => {
  let instances: ChangingGroup;
  let group: DatabaseGroup;
  let pools: InstancePool[];
  let maintenance: NodeJS.Timeout;
  let task: ViewVerificationTask;
  let primary: MemoryInstance;
  let replica: MemoryInstance;
  let other: MemoryInstance;

  beforeEach(async () => {
    instances = new ChangingGroup(GROUP, 3);
    [primary, replica, other] = instances.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    group = new DatabaseGroup(GROUP);
    pools = [];
    for (const each of instances.instances) addMember(each);
    maintenance = setInterval(() => {
      for (const pool of pools) pool.maintain();
    }, MAINTENANCE_INTERVAL_MS);
    task = new ViewVerificationTask(
      {owned: [group]} as Partial<GroupRegistry> as GroupRegistry,
      'east',
      () => 'east',
      createSilentLogger(),
    );
    await task.start();
    await untilConnected();
    const record = {term: 1, primary: primary.id, phase: PrimaryPhase.Steady};
    group.applyRecord({record, revision: 1});
    // The last response of the store.
    group.confirmRecord(readClocks());
  });

  afterEach(async () => {
    clearInterval(maintenance);
    await task.stop(0);
    for (const {id} of instances.instances)
      group.removeMember(id, 'the test has ended');
    instances.close();
  });

  /** Adds an instance to the members, with a pool of connections. */
  function addMember({id}: MemoryInstance): void {
    const connector = new MemoryConnector(
      'proxy',
      new Map([[GROUP, instances]]),
    );
    const instance = registeredInstance(id, GROUP);
    const pool = new InstancePool(instance, connector, createSilentLogger());
    pool.setShare(3);
    pool.maintain();
    pools.push(pool);
    group.addMember(instance, pool);
  }

  /** Waits until every pool has a connection. */
  async function untilConnected(): Promise<void> {
    while (pools.some(({connections}) => connections === 0)) await sleep(1);
    // The clock of the next confirmation has to differ.
    await sleep(2);
  }

  /** Holds the replicas, as a coordinator does that cannot reach the primary. */
  function holdReplicas(term: number): void {
    for (const each of [replica, other]) each.heldTerm = term;
  }

  /** Returns whether the primary is usable after the view of it has ended unless it was extended. */
  async function isUsableLater(): Promise<boolean> {
    await sleep(UNTIL_ENDED_MS);
    return typeof group.usablePrimary() === 'object';
  }

  describe('with a recorded primary that leads', () => {
    it('extends the view while a replica follows that was connected before', async () => {
      expect(await isUsableLater()).toEqual(true);
    });

    it('does not extend the view once the replicas are held', async () => {
      holdReplicas(2);
      expect(await isUsableLater()).toEqual(false);
    });

    it('does not extend the view by a replica that lost its hold by a restart', async () => {
      holdReplicas(2);
      instances.restartWithLog(replica);
      expect(await isUsableLater()).toEqual(false);
    });

    it('does not extend the view by a replica that restarted after instances had extended it', async () => {
      expect(await isUsableLater()).toEqual(true);
      holdReplicas(2);
      instances.restartWithLog(replica);
      expect(await isUsableLater()).toEqual(false);
    });

    it('does not extend the view by a replica that joined after the others were held', async () => {
      holdReplicas(2);
      const joined = instances.join();
      addMember(joined);
      expect(await isUsableLater()).toEqual(false);
    });

    it('extends the view by a replica that restarted before the store confirmed it again', async () => {
      other.heldTerm = 2;
      instances.restartWithLog(replica);
      await untilConnected();
      group.confirmRecord(readClocks());
      expect(await isUsableLater()).toEqual(true);
    });

    it('does not end the view because one of two replicas restarted', async () => {
      instances.restartWithLog(replica);
      expect(await isUsableLater()).toEqual(true);
    });
  });

  describe('with an instance that leads a higher term', () => {
    beforeEach(() => {
      instances.crash(primary);
      replica.isPrimary = true;
      replica.term = 2;
      other.term = 2;
    });

    it('adopts it if a replica follows that was connected before', async () => {
      expect(await isUsableLater()).toEqual(true);
      expect(group.record?.record.primary).toEqual(replica.id);
    });

    it('does not adopt it if the follower is held', async () => {
      other.heldTerm = 3;
      expect(await isUsableLater()).toEqual(false);
      expect(group.record?.record.primary).toEqual(primary.id);
    });

    it('does not adopt it by a follower that lost its hold by a restart', async () => {
      other.heldTerm = 3;
      instances.restartWithLog(other);
      expect(await isUsableLater()).toEqual(false);
      expect(group.record?.record.primary).toEqual(primary.id);
    });

    it('does not adopt it by a follower that joined', async () => {
      other.heldTerm = 3;
      const joined = instances.join();
      joined.term = 2;
      addMember(joined);
      expect(await isUsableLater()).toEqual(false);
      expect(group.record?.record.primary).toEqual(primary.id);
    });
  });
});
