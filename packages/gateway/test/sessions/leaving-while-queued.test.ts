import {PrimaryPhase, SapphiregladeError} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {ExecutionContext, PooledConnection} from '../../src/index.js';
import {
  DatabaseGroup,
  GatewayMetrics,
  InstancePool,
  readClocks,
  StatementExecutor,
} from '../../src/index.js';
import {failureOf, requestOf} from '../support/linked-proxy.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {MemoryGroup} from '../support/memory-group.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';

/** Longer than it takes to open a connection, in milliseconds. */
const OPEN_MS = 30;

describe('a read that waits for a connection to a replica', () => {
  const [primary, replica] = [`${GROUP}-0`, `${GROUP}-1`];
  let memoryGroup: MemoryGroup;
  let group: DatabaseGroup;
  let executor: StatementExecutor;
  let busy: PooledConnection;
  let replicaPool: InstancePool;

  /** Adds an instance to the group, with a share of connections. */
  function addInstance(id: string, share: number): InstancePool {
    const connector = new MemoryConnector(
      'proxy',
      new Map([[GROUP, memoryGroup]]),
    );
    const instance = registeredInstance(id, GROUP);
    const pool = new InstancePool(instance, connector, createSilentLogger());
    pool.setShare(share);
    group.addMember(instance, pool);
    return pool;
  }

  beforeEach(async () => {
    memoryGroup = new MemoryGroup(GROUP, 2);
    group = new DatabaseGroup(GROUP);
    addInstance(primary, 0);
    replicaPool = addInstance(replica, 1);
    replicaPool.maintain();
    await sleep(OPEN_MS);
    busy = replicaPool.tryAcquire()!;
    const record = {term: 1, primary, phase: PrimaryPhase.Steady};
    group.applyRecord({record, revision: 1});
    group.confirmRecord(readClocks());
    const position = {term: 1, position: 0};
    group.positions.recordObservation(performance.now(), position);
    executor = new StatementExecutor({
      groups: {getOrCreate: () => group},
      lateUseLog: {record: () => undefined},
      region: 'east',
      regionOf: () => 'east',
      metrics: new GatewayMetrics(),
      log: createSilentLogger(),
    } as unknown as ExecutionContext);
  });

  it('is not sent to the replica if that began to leave meanwhile', async () => {
    const request = {...requestOf('read-1', true), ownCommit: undefined};
    const failure = failureOf(executor.run(request));
    await sleep(OPEN_MS);
    expect(replicaPool.queueLength).toEqual(1);
    group.updateMember({
      ...registeredInstance(replica, GROUP),
      isLeaving: true,
    });
    replicaPool.release(busy);
    expect(await failure).toBeA(SapphiregladeError);
    expect((await failure).outcome).toEqual('not run');
    expect(memoryGroup.instances[1]!.received).toEqual([]);
  });
});
