import {PrimaryPhase, SapphiregladeError} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {ExecutionContext} from '../../src/index.js';
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

/** Interval at which the view is verified by instances, in milliseconds. */
const VERIFICATION_INTERVAL_MS = 50;

/** Time allowed for a statement, in milliseconds. */
const STATEMENT_TIMEOUT_MS = 500;

describe('a commit while only instances verify the view', () => {
  let memoryGroup: MemoryGroup;
  let group: DatabaseGroup;
  let executor: StatementExecutor;
  let listed: MemoryInstance;
  let timer: NodeJS.Timeout;

  beforeEach(async () => {
    memoryGroup = new MemoryGroup(GROUP, 3);
    // The third instance is not listed.
    const [primary, replica] = memoryGroup.instances as [
      MemoryInstance,
      MemoryInstance,
    ];
    listed = replica;
    group = new DatabaseGroup(GROUP);
    const connector = new MemoryConnector(
      'proxy',
      new Map([[GROUP, memoryGroup]]),
    );
    for (const {id} of [primary, replica]) {
      const instance = registeredInstance(id, GROUP);
      const pool = new InstancePool(instance, connector, createSilentLogger());
      pool.setShare(2);
      group.addMember(instance, pool);
      pool.maintain();
      while (pool.connections === 0) await sleep(1);
    }
    group.applyRecord({
      record: {term: 1, primary: primary.id, phase: PrimaryPhase.Steady},
      revision: 1,
    });
    group.confirmRecord(readClocks());
    timer = setInterval(
      () => group.extendView(readClocks()),
      VERIFICATION_INTERVAL_MS,
    );
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
    clearInterval(timer);
    for (const id of [...group.members.keys()])
      group.removeMember(id, 'the test has ended');
    memoryGroup.close();
  });

  /** Commits a write; returns what the caller is told. */
  async function write(): Promise<string> {
    const request = requestOf('write-1', false);
    const deadlineMs = request.startedAtMs + STATEMENT_TIMEOUT_MS;
    return executor.run({...request, deadlineMs}).then(
      () => 'acknowledged',
      (error: unknown) =>
        error instanceof SapphiregladeError ? error.kind : String(error),
    );
  }

  async function untilStoreIsSilent(): Promise<void> {
    while (group.isConfirmedByStore(readClocks())) await sleep(5);
    expect(typeof group.usablePrimary()).toEqual('object');
  }

  it('is acknowledged once a replica has it that has run since the store answered', async () => {
    await untilStoreIsSilent();
    expect(await write()).toEqual('acknowledged');
  });

  // Guards against commits that only an instance has which nobody lists.
  it('is not acknowledged if only an instance has it that is not listed', async () => {
    listed.heldTerm = 2;
    await untilStoreIsSilent();
    expect(await write()).toEqual('outcome-unknown');
  });

  it('is acknowledged at once while the store confirms the view', async () => {
    listed.heldTerm = 2;
    expect(await write()).toEqual('acknowledged');
  });
});
