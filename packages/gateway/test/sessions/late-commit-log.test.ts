import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase, TransactionState} from '@sapphireglade/decisions';
import type {LogFields} from '@sapphireglade/runtime';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {LateCommitLog} from '../../src/core/sessions/late-commit-log.js';
import type {
  ExecutionContext,
  ExecutionRequest,
  InstanceReply,
  RunnableStatement,
} from '../../src/index.js';
import {
  DatabaseGroup,
  GatewayMetrics,
  InstancePool,
  readClocks,
  StatementExecutor,
  VIEW_VALIDITY_MS,
} from '../../src/index.js';
import {requestOf} from '../support/linked-proxy.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {MemoryGroup} from '../support/memory-group.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const PRIMARY = `${GROUP}-0`;
const MESSAGE =
  'A commit was answered after the view of its primary had ended.';

/** Interval between two checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 5;

const STEADY: PrimaryRecord = {
  term: 1,
  primary: PRIMARY,
  phase: PrimaryPhase.Steady,
};

const REPLY: InstanceReply = {
  rows: [],
  signature: undefined,
  refusal: undefined,
  state: TransactionState.Idle,
  position: {term: 1, position: 4},
  report: undefined,
};

describe('the log of late commits', () => {
  let group: DatabaseGroup;
  let lines: (LogFields & {readonly level: string})[];
  const keep =
    (level: string) =>
    (message: string, fields: LogFields = {}): void => {
      if (message === MESSAGE) lines.push({...fields, level});
    };
  const log = {
    ...createSilentLogger(),
    info: keep('info'),
    warn: keep('warn'),
  };

  beforeEach(() => {
    lines = [];
    group = new DatabaseGroup(GROUP);
    group.applyRecord({record: STEADY, revision: 1});
    group.confirmRecord(readClocks());
  });

  function record(reply: InstanceReply, awaitsReplica = true): void {
    const {statement} = requestOf('write-1', false);
    const commit = {...statement, awaitsReplica};
    new LateCommitLog(log).record(commit, group, PRIMARY, reply);
  }

  it('has no line while the view is valid', () => {
    record(REPLY);
    expect(lines).toEqual([]);
  });

  it('has a line if the view had ended, with its age', () => {
    const {steadyMs, wallMs} = readClocks();
    group = new DatabaseGroup(GROUP);
    group.applyRecord({record: STEADY, revision: 1});
    group.confirmRecord({
      steadyMs: steadyMs - VIEW_VALIDITY_MS,
      wallMs: wallMs - VIEW_VALIDITY_MS,
    });
    record(REPLY);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toHaveSubset({
      level: 'warn',
      request: 'write-1',
      instance: PRIMARY,
      position: '1.4',
      isViewValid: false,
    });
    expect(Number(lines[0]?.['viewAgeMs']) >= VIEW_VALIDITY_MS).toEqual(true);
  });

  it('has a line if the primary was released', () => {
    const phase = PrimaryPhase.Changing;
    group.applyRecord({record: {...STEADY, phase}, revision: 2});
    record(REPLY);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toHaveSubset({level: 'warn', phase, isViewValid: true});
  });

  it('tells a planned change, in which transactions may end first', () => {
    const phase = PrimaryPhase.Changing;
    const changing = {...STEADY, phase, isPlanned: true};
    group.applyRecord({record: changing, revision: 2});
    record(REPLY);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toHaveSubset({level: 'info', isPlanned: true});
  });

  it('has a line if the instance leads a later term by now', () => {
    group.applyRecord({record: {...STEADY, term: 3}, revision: 2});
    record(REPLY);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toHaveSubset({position: '1.4', term: 3});
  });

  it('has no line for what commits nothing or was refused', () => {
    group.applyRecord({record: {...STEADY, term: 3}, revision: 2});
    record(REPLY, false);
    record({...REPLY, refusal: {kind: 'overloaded', detail: ''} as never});
    expect(lines).toEqual([]);
  });

  describe('of an executor', () => {
    let memoryGroup: MemoryGroup;
    let pool: InstancePool;
    let executor: StatementExecutor;

    beforeEach(async () => {
      memoryGroup = new MemoryGroup(GROUP, 2);
      const instance = registeredInstance(PRIMARY, GROUP);
      const connector = new MemoryConnector(
        'proxy',
        new Map([[GROUP, memoryGroup]]),
      );
      pool = new InstancePool(instance, connector, createSilentLogger());
      pool.setShare(1);
      group.addMember(instance, pool);
      pool.maintain();
      executor = new StatementExecutor({
        groups: {getOrCreate: () => group},
        lateUseLog: {record: () => undefined},
        region: 'east',
        regionOf: () => 'east',
        metrics: new GatewayMetrics(),
        log,
      } as unknown as ExecutionContext);
      memoryGroup.instances[1]!.isDown = true;
    });

    afterEach(() => {
      pool.close('the test is over');
      memoryGroup.close();
    });

    /** Takes the primary out of use, then lets a replica confirm. */
    async function releaseThenConfirm(): Promise<void> {
      const phase = PrimaryPhase.Changing;
      group.applyRecord({record: {...STEADY, phase}, revision: 2});
      memoryGroup.instances[1]!.isDown = false;
      while (lines.length === 0) await sleep(POLL_INTERVAL_MS);
    }

    it('names a write whose answer comes after its primary was released', async () => {
      const running = executor.run(requestOf('write-1', false));
      while (memoryGroup.instances[0]!.log.length === 0)
        await sleep(POLL_INTERVAL_MS);
      await releaseThenConfirm();
      await running.catch(() => undefined);
      expect(lines.map(({request}) => request)).toEqual(['write-1']);
    });

    it('names the commit of a transaction that was open before', async () => {
      const write = inTransaction('write-1', {awaitsReplica: false});
      const transaction = await executor.begin(write, false);
      await transaction.run(write);
      const commit = inTransaction('commit-1', {text: 'COMMIT'});
      const running = transaction.commit(commit, true);
      await releaseThenConfirm();
      await running.catch(() => undefined);
      expect(lines.map(({request}) => request)).toEqual(['commit-1']);
    });
  });
});

function inTransaction(
  requestId: string,
  fields: Partial<RunnableStatement>,
): ExecutionRequest {
  const request = requestOf(requestId, false);
  return {...request, statement: {...request.statement, ...fields}};
}
