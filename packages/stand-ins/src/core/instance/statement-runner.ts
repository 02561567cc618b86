import type {Socket} from 'node:net';
import type {
  BeginRequest,
  SqlValue,
  FinishRequest,
  StatementResponse,
  StatementRequest,
} from '@sapphireglade/protocol';
import {RefusalReason} from '@sapphireglade/protocol';
import type {OpenTransaction} from './database.js';
import type {InstanceState} from './instance-state.js';
import type {InstanceTuning} from './settings.js';
import type {SlotQueue} from './slot-queue.js';
import {StatementFailedError} from './statement-failed-error.js';

/** Runs statements and transactions in the slots of an instance. */
export class StatementRunner {
  /** Number of runs of writes by first parameter, including failed runs. */
  readonly runs = new Map<SqlValue, number>();
  private received = 0;
  private readonly transactions = new Map<Socket, OpenTransaction>();
  private transactionCount = 0;

  /**
   * @param state - State of the instance.
   * @param slots - Slots of the instance.
   * @param tuning - Returns the current service times.
   */
  constructor(
    private readonly state: InstanceState,
    private readonly slots: SlotQueue,
    private readonly tuning: () => InstanceTuning,
  ) {}

  /** Number of statements and transactions received. */
  get statements(): number {
    return this.received;
  }

  /** Runs a statement, on its own or in the transaction of its connection. */
  async run(
    request: StatementRequest,
    socket: Socket,
  ): Promise<StatementResponse> {
    this.received += 1;
    const transaction = this.findTransaction(request.transaction, socket);
    this.assertCanRun(request, transaction);
    const waitedMs = await this.holdSlot(request.access);
    this.assertCanRun(
      request,
      this.findTransaction(request.transaction, socket),
    );
    if (request.access === 'write') this.countRun(request.parameters[0]);
    const effect = this.evaluate(request, transaction);
    const isAutoCommit =
      transaction === undefined && request.access === 'write';
    const position = isAutoCommit
      ? this.state.commit([...effect.changes])
      : this.state.position;
    return {
      rows: [...effect.rows],
      rowCount: effect.rowCount,
      position,
      waitedMs,
      transaction: transaction?.id,
    };
  }

  /** Begins a transaction on a connection. */
  begin(request: BeginRequest, socket: Socket): StatementResponse {
    this.received += 1;
    if (request.access === 'write' || request.term !== undefined) {
      this.state.assertLeading(request.term);
    }
    if (this.transactions.has(socket)) {
      throw this.state.refuse(
        RefusalReason.Invalid,
        'The connection already has a transaction.',
      );
    }
    this.transactionCount += 1;
    const transaction: OpenTransaction = {
      id: `transaction-${this.transactionCount}`,
      access: request.access,
      term: request.access === 'write' ? this.state.term : request.term,
      changes: [],
    };
    this.transactions.set(socket, transaction);
    return this.createEmptyResponse(0, transaction.id);
  }

  /** Commits the transaction of a connection as one log entry. */
  async commit(
    request: FinishRequest,
    socket: Socket,
  ): Promise<StatementResponse> {
    const transaction = this.requireTransaction(request, socket);
    const waitedMs = await this.holdSlot(transaction.access);
    this.requireTransaction(request, socket);
    this.abandon(socket);
    if (transaction.term !== undefined) {
      this.state.assertLeading(transaction.term);
    }
    this.state.commit(transaction.changes);
    return this.createEmptyResponse(waitedMs);
  }

  /** Rolls back the transaction of a connection. */
  rollback(request: FinishRequest, socket: Socket): StatementResponse {
    this.requireTransaction(request, socket);
    this.abandon(socket);
    return this.createEmptyResponse(0);
  }

  /** Rolls back the transaction of a connection, if there is one. */
  abandon(socket: Socket): void {
    const transaction = this.transactions.get(socket);
    if (transaction === undefined) return;
    this.transactions.delete(socket);
    this.state.database.endTransaction(transaction.id);
  }

  /** Rolls back every write transaction. */
  abandonWrites(): void {
    for (const [socket, transaction] of this.transactions) {
      if (transaction.access === 'write') this.abandon(socket);
    }
  }

  private assertCanRun(
    request: StatementRequest,
    transaction: OpenTransaction | undefined,
  ): void {
    const term = request.term ?? transaction?.term;
    if (request.access === 'write' || term !== undefined) {
      this.state.assertLeading(term);
    }
    if (request.access === 'write' && transaction?.access === 'read') {
      throw this.state.refuse(
        RefusalReason.StatementFailed,
        'The transaction is read-only.',
      );
    }
    this.state.assertPositionReached(request.minimumPosition);
  }

  private evaluate(
    request: StatementRequest,
    transaction: OpenTransaction | undefined,
  ): ReturnType<InstanceState['database']['evaluate']> {
    const {sql, parameters, access} = request;
    const {database} = this.state;
    try {
      return database.evaluate(sql, parameters, access, transaction);
    } catch (error) {
      if (!(error instanceof StatementFailedError)) throw error;
      throw this.state.refuse(RefusalReason.StatementFailed, error.message);
    }
  }

  private countRun(key: SqlValue | undefined): void {
    if (key === undefined) return;
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
  }

  private holdSlot(access: 'read' | 'write'): Promise<number> {
    const {readServiceMs, writeServiceMs} = this.tuning();
    return this.slots.holdSlot(
      access === 'read' ? readServiceMs : writeServiceMs,
    );
  }

  private findTransaction(
    id: string | undefined,
    socket: Socket,
  ): OpenTransaction | undefined {
    if (id === undefined) return undefined;
    return this.requireTransaction({transaction: id}, socket);
  }

  private requireTransaction(
    {transaction: id}: FinishRequest,
    socket: Socket,
  ): OpenTransaction {
    const transaction = this.transactions.get(socket);
    if (transaction?.id === id) return transaction;
    throw this.state.refuse(
      RefusalReason.NoTransaction,
      'The connection has no such transaction.',
    );
  }

  private createEmptyResponse(
    waitedMs: number,
    transaction?: string,
  ): StatementResponse {
    const {position} = this.state;
    return {rows: [], rowCount: 0, position, waitedMs, transaction};
  }
}
