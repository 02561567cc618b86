import type {PrimaryRecord} from '@sapphireglade/decisions';
import {
  ErrorKind,
  PrimaryPhase,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {
  ExecutionContext,
  ExecutionRequest,
  InstanceReply,
  UpstreamTransaction,
} from '../../src/index.js';
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

/** Identifies the write, and the commit of a transaction. */
const WRITE = 'write-1';

/** Time allowed for a statement, longer than a view lasts, in milliseconds. */
const STATEMENT_TIMEOUT_MS = 2_500;

/** Long enough for an answer to arrive, in milliseconds. */
const ANSWER_MS = 60;

/** What the caller is told. */
type CallerResult = 'acknowledged' | ErrorKind;

describe('a commit that is answered after the view of the primary has ended', () => {
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
    group = new DatabaseGroup(GROUP);
    for (const {id} of memoryGroup.instances) {
      const connector = new MemoryConnector(
        'proxy',
        new Map([[GROUP, memoryGroup]]),
      );
      const instance = registeredInstance(id, GROUP);
      const pool = new InstancePool(instance, connector, createSilentLogger());
      pool.setShare(2);
      group.addMember(instance, pool);
    }
    apply(1, {term: 1, primary: primary.id, phase: PrimaryPhase.Steady});
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

  /** Applies a record that the store confirms. */
  function apply(revision: number, record: PrimaryRecord): void {
    group.applyRecord({record, revision});
    group.confirmRecord(readClocks());
  }

  /** Applies the records of a change of primary, by default to the replica. */
  function changePrimary(
    initialPosition: PrimaryRecord['initialPosition'],
    {term = 2, next = replica} = {},
  ): void {
    const {Changing, Steady} = PrimaryPhase;
    apply(2, {term: 1, primary: primary.id, phase: Changing});
    apply(3, {term, primary: next.id, phase: Steady, initialPosition});
  }

  function request(text: string): ExecutionRequest {
    const created = requestOf(WRITE, false);
    const statement = {...created.statement, text};
    const deadlineMs = created.startedAtMs + STATEMENT_TIMEOUT_MS;
    return {...created, statement, deadlineMs, queueDeadlineMs: deadlineMs};
  }

  /** Begins a transaction and sends its write. */
  async function beginTransaction(): Promise<UpstreamTransaction> {
    const transaction = await executor.begin(request('BEGIN'), false);
    await transaction.run(request('STORE 1 a'));
    return transaction;
  }

  async function resultOf(
    operation: Promise<InstanceReply>,
  ): Promise<CallerResult> {
    try {
      await operation;
      return 'acknowledged';
    } catch (error) {
      if (error instanceof SapphiregladeError) return error.kind;
      throw error;
    }
  }

  async function untilViewEnds(): Promise<void> {
    while (typeof group.usablePrimary() === 'object') await sleep(5);
  }

  /** Lets the replica confirm, so that the primary answers. */
  async function answer(): Promise<void> {
    replica.heldTerm = 0;
    while (replica.log.length === 0) await sleep(1);
    await sleep(ANSWER_MS);
  }

  const operations = {
    'single write': () => executor.run(request('STORE 1 a')),
    'commit of a transaction': async () => {
      const transaction = await beginTransaction();
      return transaction.commit(request('COMMIT'), true);
    },
  };

  for (const [name, send] of Object.entries(operations)) {
    describe(`as a ${name}`, () => {
      let result: Promise<CallerResult>;

      beforeEach(async () => {
        // A coordinator holds the replica before it replaces the primary.
        replica.heldTerm = 2;
        result = resultOf(send());
        await untilViewEnds();
        expect(primary.log.length).toEqual(1);
      });

      it(`is not acknowledged if the view is not confirmed again: ${name}`, async () => {
        await answer();
        expect(await result).toEqual(ErrorKind.OutcomeUnknown);
      });

      it(`is acknowledged once the view is confirmed again: ${name}`, async () => {
        await answer();
        group.confirmRecord(readClocks());
        expect(await result).toEqual('acknowledged');
      });

      it(`is acknowledged once a record shows that the next primary has it: ${name}`, async () => {
        await answer();
        changePrimary({term: 1, position: 1});
        expect(await result).toEqual('acknowledged');
      });

      it(`is not acknowledged while the primary is being replaced: ${name}`, async () => {
        await answer();
        const {id} = primary;
        apply(2, {term: 1, primary: id, phase: PrimaryPhase.Changing});
        expect(await result).toEqual(ErrorKind.OutcomeUnknown);
      });

      it(`is not acknowledged if the next primary began without it: ${name}`, async () => {
        await answer();
        changePrimary({term: 1, position: 0});
        expect(await result).toEqual(ErrorKind.OutcomeUnknown);
      });

      it(`is not acknowledged if the next primary was recorded without it before the answer: ${name}`, async () => {
        changePrimary({term: 1, position: 0});
        await answer();
        expect(await result).toEqual(ErrorKind.OutcomeUnknown);
      });

      it(`is not acknowledged if only a later term is known to have begun: ${name}`, async () => {
        await answer();
        changePrimary({term: 2, position: 5}, {term: 3});
        expect(await result).toEqual(ErrorKind.OutcomeUnknown);
      });

      it(`is not acknowledged if its instance leads a later term without it: ${name}`, async () => {
        await answer();
        changePrimary({term: 2, position: 5}, {term: 3, next: primary});
        expect(await result).toEqual(ErrorKind.OutcomeUnknown);
      });
    });
  }

  describe('as a commit that was sent after the end', () => {
    it('is not acknowledged if it was sent without a valid view', async () => {
      const transaction = await beginTransaction();
      await untilViewEnds();
      const result = await resultOf(
        transaction.commit(request('COMMIT'), true),
      );
      expect(result).not.toEqual('acknowledged');
      // Any other error promises that it did not run.
      const didRun = primary.log.length > 0;
      expect(didRun && result !== ErrorKind.OutcomeUnknown).toEqual(false);
    });
  });
});
