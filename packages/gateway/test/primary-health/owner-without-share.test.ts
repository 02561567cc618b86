import {ErrorKind, PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {
  ExecutionContext,
  GroupRegistry,
  MemberRegistrationTask,
  SuspectedPrimary,
} from '../../src/index.js';
import {
  DatabaseGroup,
  GatewayMetrics,
  InstancePool,
  PrimaryHealthCheckTask,
  readClocks,
  StatementExecutor,
} from '../../src/index.js';
import {failureOf, requestOf} from '../support/linked-proxy.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {MemoryGroup} from '../support/memory-group.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';

/** Longer than an unreachable primary is tolerated, in milliseconds. */
const SUSPICION_MS = 600;

/** Time in which a request is refused that waits for nothing, in milliseconds. */
const AT_ONCE_MS = 20;

describe('an owner without a share in the connections to the primary', () => {
  const primary = `${GROUP}-0`;
  let memoryGroup: MemoryGroup;
  let group: DatabaseGroup;
  let pool: InstancePool;
  let task: PrimaryHealthCheckTask;
  let published: {
    suspects: readonly SuspectedPrimary[];
    unobserved: readonly string[];
  };

  beforeEach(async () => {
    memoryGroup = new MemoryGroup(GROUP, 2);
    group = new DatabaseGroup(GROUP);
    const instance = registeredInstance(primary, GROUP);
    const connector = new MemoryConnector(
      'proxy',
      new Map([[GROUP, memoryGroup]]),
    );
    pool = new InstancePool(instance, connector, createSilentLogger());
    group.addMember(instance, pool);
    const record = {term: 1, primary, phase: PrimaryPhase.Steady};
    group.applyRecord({record, revision: 1});
    task = new PrimaryHealthCheckTask(
      {owned: [group]} as unknown as GroupRegistry,
      {
        publishSuspects: (
          suspects: readonly SuspectedPrimary[],
          unobserved: readonly string[],
        ) => (published = {suspects, unobserved}),
      } as unknown as MemberRegistrationTask,
      createSilentLogger(),
    );
    await task.start();
  });

  afterEach(() => task.stop(0));

  it('does not suspect it, and says that it cannot judge', async () => {
    memoryGroup.instances[0]!.isDown = true;
    pool.setShare(0);
    await sleep(SUSPICION_MS);
    expect(published).toEqual({suspects: [], unobserved: [GROUP]});
  });

  it('takes back the suspicion that it had', async () => {
    memoryGroup.instances[0]!.isDown = true;
    pool.setShare(1);
    await sleep(SUSPICION_MS);
    expect(published).toEqual({
      suspects: [{group: GROUP, term: 1}],
      unobserved: [],
    });
    pool.setShare(0);
    await sleep(SUSPICION_MS);
    expect(published).toEqual({suspects: [], unobserved: [GROUP]});
  });

  it('judges it again once it has a share', async () => {
    pool.setShare(0);
    await sleep(SUSPICION_MS);
    pool.setShare(1);
    await sleep(SUSPICION_MS);
    expect(published).toEqual({suspects: [], unobserved: []});
  });

  it('refuses a write at once, so that another owner can be asked', async () => {
    group.confirmRecord(readClocks());
    pool.setShare(0);
    const executor = new StatementExecutor({
      groups: {getOrCreate: () => group},
      lateUseLog: {record: () => undefined},
      region: 'east',
      regionOf: () => 'east',
      metrics: new GatewayMetrics(),
      log: createSilentLogger(),
    } as unknown as ExecutionContext);
    const beganAtMs = performance.now();
    const failure = await failureOf(executor.run(requestOf('write-1', false)));
    expect(performance.now() - beganAtMs < AT_ONCE_MS).toEqual(true);
    expect([failure.kind, failure.outcome, failure.retryAfterMs]).toEqual([
      ErrorKind.NoConnection,
      'not run',
      500,
    ]);
  });
});
