import type {PreparedStatement} from '@sapphireglade/decisions';
import {
  ErrorKind,
  Outcome,
  PreparedStatementKind,
  SessionValues,
  TransactionState,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {expect} from 'earl';
import {LocalTransaction} from '../../src/core/sessions/local-transaction.js';
import type {
  ExecutionRequest,
  InstanceCommand,
  InstanceReply,
} from '../../src/index.js';
import {
  CommandKind,
  InstanceConnection,
  InstancePool,
  PooledConnection,
} from '../../src/index.js';
import {registeredInstance} from '../support/primary-change-context.js';
import {MemoryConnector} from '../support/memory-connector.js';

const REPLY: InstanceReply = {
  rows: [],
  signature: undefined,
  refusal: undefined,
  state: TransactionState.Open,
  position: undefined,
  report: undefined,
};

/** A connection that answers only when the test calls `answer`. */
class HeldConnection extends InstanceConnection {
  override readonly isOpen = true;
  override readonly greeting = REPLY;
  readonly sent: InstanceCommand['kind'][] = [];
  /** The kind of command that does not fit in a message. */
  tooLong: InstanceCommand['kind'] | undefined;
  private readonly waiting: (() => void)[] = [];

  override canSend({kind}: InstanceCommand): boolean {
    return kind !== this.tooLong;
  }

  override run(command: InstanceCommand): Promise<InstanceReply> {
    this.sent.push(command.kind);
    return new Promise(resolve => this.waiting.push(() => resolve(REPLY)));
  }

  override close(): void {
    return undefined;
  }

  override onClosed(): void {
    return undefined;
  }

  /** Answers all pending commands. */
  answer(): void {
    for (const resolve of this.waiting.splice(0)) resolve();
  }
}

describe('LocalTransaction', () => {
  let connection: HeldConnection;
  let isUsable: boolean;
  let transaction: LocalTransaction;

  beforeEach(async () => {
    isUsable = true;
    connection = new HeldConnection();
    const pooled = new PooledConnection(connection, () => undefined);
    const begun = pooled.run({
      kind: CommandKind.Begin,
      isReadOnly: true,
      atLeast: undefined,
    });
    connection.answer();
    await begun;
    const log = createSilentLogger();
    const instance = registeredInstance('ledger-0', 'ledger');
    const connector = new MemoryConnector('proxy', new Map());
    const pool = new InstancePool(instance, connector, log);
    const bound = {pool, connection: pooled};
    transaction = new LocalTransaction(bound, log, () => isUsable);
  });

  /** Runs a read; resolves to its reply or to the error. */
  function read(
    values: SessionValues,
    prepared?: PreparedStatement,
  ): Promise<InstanceReply | Error> {
    const statement = {
      requestId: 'read',
      isRead: true,
      awaitsReplica: false,
      text: 'FETCH',
      prepared,
      parameters: '',
    };
    const deadlineMs = performance.now() + 1_000;
    return transaction
      .run({statement, values, deadlineMs} as ExecutionRequest)
      .catch((error: Error) => error);
  }

  describe('with a statement that does not fit in a message', () => {
    for (const kind of [CommandKind.Prepare, CommandKind.Execute]) {
      it(`sends nothing of it and is rolled back: ${kind}`, async () => {
        connection.tooLong = kind;
        const prepared = {kind: PreparedStatementKind.Read, shape: 'q'};
        const running = read(new SessionValues(), prepared);
        expect(await running).toHaveSubset({
          kind: ErrorKind.BodyTooLarge,
          outcome: Outcome.NotRun,
        });
        expect(connection.sent).toEqual([
          CommandKind.Begin,
          CommandKind.Rollback,
        ]);
      });
    }
  });

  describe('on an instance that must be left alone', () => {
    it('is rolled back instead of sending its first statement', async () => {
      isUsable = false;
      const running = read(new SessionValues());
      expect(await running).toHaveSubset({kind: ErrorKind.TransactionLost});
      expect(connection.sent).toEqual([
        CommandKind.Begin,
        CommandKind.Rollback,
      ]);
    });

    it('sends further statements', async () => {
      for (const usable of [true, false]) {
        isUsable = usable;
        const running = read(new SessionValues());
        await setImmediate();
        connection.answer();
        expect(await running).toEqual(REPLY);
      }
    });
  });

  it('sends no statement after a rollback during the replay of session values', async () => {
    const values = new SessionValues();
    values.set('name', 'value');
    const running = read(values);
    expect(connection.sent).toEqual([CommandKind.Begin, CommandKind.SetValue]);

    transaction.rollBack();
    connection.answer();

    expect(await running).toHaveSubset({kind: ErrorKind.TransactionLost});
    expect(connection.sent).toEqual([
      CommandKind.Begin,
      CommandKind.SetValue,
      CommandKind.Rollback,
    ]);
  });
});
