import type {LogPosition} from '@sapphireglade/decisions';
import {comparePositions, PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {ExecutionContext, ExecutionRequest} from '../../src/index.js';
import {
  DatabaseGroup,
  GatewayMetrics,
  InstancePool,
  readClocks,
  StatementExecutor,
} from '../../src/index.js';
import {requestOf} from '../support/linked-proxy.js';
import {MemoryConnector} from '../support/memory-connector.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const TERM = 2;

/** Long enough for a statement to reach its instance, in milliseconds. */
const ARRIVAL_MS = 20;

describe('the least position of acknowledged commits', () => {
  let memoryGroup: MemoryGroup;
  let group: DatabaseGroup;
  let executor: StatementExecutor;
  let primary: MemoryInstance;
  let replica: MemoryInstance;

  beforeEach(() => {
    memoryGroup = new MemoryGroup(GROUP, 2);
    [primary, replica] = memoryGroup.instances as [
      MemoryInstance,
      MemoryInstance,
    ];
    primary.term = TERM;
    group = new DatabaseGroup(GROUP);
    for (const {id} of memoryGroup.instances) {
      const connector = new MemoryConnector(
        'proxy',
        new Map([[GROUP, memoryGroup]]),
      );
      const instance = registeredInstance(id, GROUP);
      const pool = new InstancePool(instance, connector, createSilentLogger());
      pool.setShare(4);
      group.addMember(instance, pool);
    }
    const {Steady} = PrimaryPhase;
    const record = {term: TERM, primary: primary.id, phase: Steady};
    group.applyRecord({record, revision: 1});
    group.confirmRecord(readClocks());
    executor = new StatementExecutor({
      groups: {getOrCreate: () => group},
      lateUseLog: {record: () => undefined},
      region: 'east',
      regionOf: () => 'east',
      metrics: new GatewayMetrics(),
      log: createSilentLogger(),
    } as unknown as ExecutionContext);
  });

  afterEach(() => {
    for (const {id} of memoryGroup.instances)
      group.removeMember(id, 'the test has ended');
    memoryGroup.close();
  });

  function request(id: string, text: string): ExecutionRequest {
    group.confirmRecord(readClocks());
    const created = requestOf(id, text.startsWith('FETCH'));
    return {...created, statement: {...created.statement, text}};
  }

  function write(id: string): Promise<unknown> {
    return executor.run(request(id, 'STORE 1 a'));
  }

  function at(position: number): LogPosition {
    return {term: TERM, position};
  }

  function least(): LogPosition | undefined {
    return group.acknowledged.leastPosition;
  }

  it('is in the term of its primary for the first commit', async () => {
    await write('first');
    expect(least()).toEqual(at(1));
  });

  it('is that of each commit if one follows the other', async () => {
    await write('first');
    await write('second');
    await write('third');
    expect(least()).toEqual(at(3));
  });

  it('includes no entry that was appended while the commit was under way', async () => {
    await write('first');
    replica.heldTerm = TERM + 1;
    const pending = write('second');
    await sleep(ARRIVAL_MS);
    const {pool} = group.members.get(primary.id)!;
    pool.positions$.next({sentAtMs: performance.now(), position: at(7)});
    replica.heldTerm = 0;
    await pending;
    expect(least()).toEqual(at(2));
  });

  it('is that of a transaction that wrote', async () => {
    await write('first');
    const transaction = await executor.begin(request('begin', 'BEGIN'), false);
    await transaction.run(request('second', 'STORE 1 a'));
    await write('third');
    await transaction.commit(request('commit', 'COMMIT'), true);
    expect(primary.position).toEqual(at(3));
    expect(least()).toEqual(at(3));
  });

  it('does not rise by a transaction whose writes may not have run', async () => {
    await write('first');
    const transaction = await executor.begin(request('begin', 'BEGIN'), false);
    await transaction.run(request('read', 'FETCH 1'));
    await memoryGroup.commit(primary, 'of another proxy');
    await transaction.commit(request('commit', 'COMMIT'), true);
    expect(comparePositions(primary.position, least()!) > 0).toEqual(true);
    expect(least()).toEqual(at(1));
  });

  it('does not rise before the commit is acknowledged', async () => {
    await write('first');
    replica.heldTerm = TERM + 1;
    const pending = write('second');
    await sleep(ARRIVAL_MS);
    expect(primary.position).toEqual(at(2));
    expect(least()).toEqual(at(1));
    replica.heldTerm = 0;
    await pending;
    expect(least()).toEqual(at(2));
  });
});
