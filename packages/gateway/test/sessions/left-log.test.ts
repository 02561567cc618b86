import type {LogPosition} from '@sapphireglade/decisions';
import {PrimaryPhase, ReadConsistency} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {ExecutionContext, ExecutionRequest} from '../../src/index.js';
import {
  CommitBoundProbe,
  DatabaseGroup,
  GatewayMetrics,
  InstanceDirectory,
  InstancePool,
  LatestConfiguration,
  readClocks,
  StatementExecutor,
  steadyNowMs,
} from '../../src/index.js';
import {requestOf} from '../support/linked-proxy.js';
import {MemoryConnector} from '../support/memory-connector.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const PROXY = 'proxy';

/** The present term; its primary began with the log of the first term. */
const TERM = 3;

/** Number of reads of each case. */
const READS = 12;

/** Time for which a process has to know the group before it may probe, in milliseconds. */
const SETTLED_MS = 10_000;

/** Long enough for an instance to be asked again, in milliseconds. */
const ASKED_AGAIN_MS = 1_100;

describe('reads beside a former primary with entries of its own', () => {
  let memoryGroup: MemoryGroup;
  let group: DatabaseGroup;
  let executor: StatementExecutor;
  let primary: MemoryInstance;
  let complete: MemoryInstance;
  let former: MemoryInstance;
  let lastCommit: LogPosition;

  beforeEach(async () => {
    memoryGroup = new MemoryGroup(GROUP, 3);
    [primary, complete, former] = memoryGroup.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    memoryGroup.partition(primary.id, former.id);
    await memoryGroup.commit(primary, 'first');
    await memoryGroup.commit(primary, 'second');
    // It led the second term, in which nobody followed it.
    former.term = 2;
    former.log = [
      {position: {term: 2, position: 1}, requestId: 'dropped', changes: []},
    ];
    primary.term = TERM;
    complete.term = TERM;
    lastCommit = primary.position;
    const log = createSilentLogger();
    const directory = new InstanceDirectory(log);
    group = createSettledGroup();
    const groups = new Map([[GROUP, memoryGroup]]);
    const connector = new MemoryConnector(PROXY, groups);
    for (const {id} of memoryGroup.instances) {
      const instance = registeredInstance(id, GROUP);
      const pool = new InstancePool(instance, connector, log);
      pool.setShare(4);
      group.addMember(instance, pool);
      directory.register(instance);
      pool.maintain();
      while (pool.connections === 0) await sleep(1);
    }
    const record = {
      term: TERM,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
      initialPosition: lastCommit,
    };
    group.applyRecord({record, revision: 1});
    const configuration = new LatestConfiguration(log);
    configuration.applyIfNewer({
      version: 1,
      routes: new Map(),
      groups: new Map([
        [
          GROUP,
          {name: GROUP, connectionLimit: 60, hasSynchronousReplication: true},
        ],
      ]),
      transactionIdleTimeoutMs: 3_000,
    });
    const commitBoundProbe = new CommitBoundProbe({
      configuration,
      directory,
      isStoreReachable: () => true,
      requestInstanceLists: () => Promise.resolve([]),
      refreshDirectory: () => directory.confirm(readClocks()),
      log,
    });
    executor = new StatementExecutor({
      groups: {getOrCreate: () => group},
      lateUseLog: {record: () => undefined},
      region: 'east',
      regionOf: () => 'east',
      metrics: new GatewayMetrics(),
      commitBoundProbe,
      log,
    } as unknown as ExecutionContext);
  });

  afterEach(() => {
    for (const {pool} of group.members.values()) pool.close('the test is over');
    memoryGroup.close();
  });

  /** Creates a group that this process has known for long enough to probe it. */
  function createSettledGroup(): DatabaseGroup {
    const createdAtMs = steadyNowMs() - SETTLED_MS;
    const clock = mock.method(performance, 'now', () => createdAtMs);
    try {
      return new DatabaseGroup(GROUP);
    } finally {
      clock.mock.restore();
    }
  }

  function request(id: string, text: string): ExecutionRequest {
    const created = requestOf(id, true);
    return {
      ...created,
      ownCommit: lastCommit,
      statement: {...created.statement, text},
      route: {
        ...created.route,
        consistency: ReadConsistency.BoundedStaleness,
      },
    };
  }

  /** Sends reads one after the other; returns how many were served, and lacked the last commit. */
  async function read(): Promise<{served: number; old: number}> {
    let served = 0;
    let old = 0;
    for (let index = 0; index < READS; index += 1) {
      const reply = await executor
        .run(request(`read-${index}`, 'READ'))
        .catch(() => undefined);
      if (reply === undefined) continue;
      served += 1;
      if (!reply.rows.includes('second')) old += 1;
    }
    return {served, old};
  }

  describe('while the primary is in use', () => {
    beforeEach(() => {
      group.confirmRecord(readClocks());
      // The former primary is the only replica that is left.
      group.removeMember(complete.id, 'it has left');
    });

    // Guards against positions of a log that has left the term.
    it('include the last commit before its term', async () => {
      expect(await read()).toEqual({served: READS, old: 0});
    });

    it('begin no transaction at the former primary', async () => {
      await read();
      for (let index = 0; index < READS; index += 1) {
        const begun = await executor.begin(request('begin', 'BEGIN'), true);
        const reply = await begun.run(request(`read-${index}`, 'READ'));
        begun.rollBack();
        expect(reply.rows).toEqual(['first', 'second']);
      }
    });

    it('are served by the former primary once it follows', async () => {
      await read();
      former.log = primary.log.slice();
      former.term = TERM;
      former.received.length = 0;
      await sleep(ASKED_AGAIN_MS);
      group.confirmRecord(readClocks());
      expect(await read()).toEqual({served: READS, old: 0});
      expect(former.received.length > 0).toEqual(true);
    });
  });

  describe('while the primary cannot be reached', () => {
    beforeEach(() => {
      memoryGroup.partition(PROXY, primary.id);
    });

    it('go on at the replica that follows, with the last commit', async () => {
      expect(await read()).toEqual({served: READS, old: 0});
    });

    // Guards against the start of an older term, which a recovered record may name.
    it('go on at a complete log that ends past the recorded start', async () => {
      const {log} = primary;
      log.push({...log[1]!, position: {term: 2, position: 3}});
      for (const each of [complete, former]) {
        each.term = TERM;
        each.log = log.slice();
      }
      const record = {
        term: TERM,
        primary: primary.id,
        phase: PrimaryPhase.Changing,
        initialPosition: {term: 1, position: 0},
      };
      group.applyRecord({record, revision: 2});
      expect(await read()).toEqual({served: READS, old: 0});
    });
  });
});
