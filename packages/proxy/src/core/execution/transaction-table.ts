import {randomUUID} from 'node:crypto';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  ExecutionResult,
  FinishTransactionRequest,
  StatementResponse,
  TransactionStatementRequest,
} from '@sapphireglade/protocol';
import type {InstancePool} from '../pool/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import {UpstreamRefusedError} from '../upstream/index.js';

/** Idle time after which a transaction is rolled back, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;

/** Timeout of a rollback, in milliseconds. */
const ROLLBACK_TIMEOUT_MS = 1_000;

/** An open transaction and the connection it is pinned to. */
export interface OpenTransaction {
  readonly caller: string;
  readonly group: string;
  readonly connection: UpstreamConnection;
  readonly pool: InstancePool;
  /** Identifies the transaction at the instance. */
  readonly upstreamTransactionId: string;
  readonly term: number;
}

/** Result of a commit or rollback. */
export interface FinishedTransaction {
  readonly result: ExecutionResult;
  readonly answer: StatementResponse;
}

/** The open transactions of this process. */
export class TransactionTable {
  private readonly open = new Map<string, OpenTransaction>();
  private readonly idleTimers = new Map<string, NodeJS.Timeout>();

  /**
   * @param boot - Identifies the run of this process; every transaction handle
   *   contains it.
   */
  constructor(private readonly boot: string) {}

  /** Number of open transactions. */
  get size(): number {
    return this.open.size;
  }

  /** Counts the transactions that hold a connection of a pool. */
  countForPool(pool: InstancePool): number {
    let count = 0;
    for (const transaction of this.open.values()) {
      if (transaction.pool === pool) count += 1;
    }
    return count;
  }

  /**
   * Adds a transaction.
   *
   * @returns The identifier of the transaction in this process.
   */
  add(transaction: OpenTransaction): string {
    const id = randomUUID();
    this.open.set(id, transaction);
    this.restartIdleTimer(id);
    return id;
  }

  /** Runs a statement in a transaction. */
  async statement(
    request: TransactionStatementRequest,
    timeoutMs: number,
  ): Promise<ExecutionResult> {
    const transaction = this.requireTransaction(request);
    this.restartIdleTimer(request.transaction);
    try {
      const answer = await transaction.connection.statement(
        {
          sql: request.sql,
          parameters: request.parameters,
          access: request.access,
          term: transaction.term,
          transaction: transaction.upstreamTransactionId,
        },
        timeoutMs,
      );
      return toExecutionResult(transaction, answer);
    } catch (error) {
      if (!transaction.connection.isOpen) this.remove(request.transaction);
      throw this.toTransactionError(error);
    }
  }

  /** Commits or rolls back a transaction and releases its connection. */
  async finish(
    request: FinishTransactionRequest,
    timeoutMs: number,
  ): Promise<FinishedTransaction> {
    const transaction = this.requireTransaction(request);
    this.remove(request.transaction);
    const {
      connection,
      pool,
      upstreamTransactionId: upstreamTransaction,
    } = transaction;
    const body = {transaction: upstreamTransaction};
    try {
      const answer = request.commit
        ? await connection.commit(body, timeoutMs)
        : await connection.rollback(body, timeoutMs);
      pool.release(connection);
      return {result: toExecutionResult(transaction, answer), answer};
    } catch (error) {
      await this.rollBackAndRelease(transaction);
      throw error;
    }
  }

  /** Rolls back every open transaction. */
  async stop(): Promise<void> {
    await Promise.all([...this.open.keys()].map(id => this.abandon(id)));
  }

  /**
   * Returns the transaction of a request. The caller may have changed the handle that
   * the request comes from, and its grants were checked for the group of the handle.
   */
  private requireTransaction(
    request: TransactionStatementRequest | FinishTransactionRequest,
  ): OpenTransaction {
    const transaction = this.open.get(request.transaction);
    const isSameBoot = request.ownerBoot === this.boot;
    if (
      transaction === undefined ||
      !isSameBoot ||
      transaction.caller !== request.caller ||
      transaction.group !== request.group
    ) {
      throw new SapphiregladeError(
        ErrorKind.TransactionLost,
        'The transaction is not open any more; it was not committed.',
      );
    }
    return transaction;
  }

  /**
   * Converts an error to `transaction-lost`, because an instance rolls back the
   * transaction of a lost connection. Refusals are returned unchanged.
   */
  private toTransactionError(error: unknown): unknown {
    if (error instanceof UpstreamRefusedError) return error;
    return new SapphiregladeError(
      ErrorKind.TransactionLost,
      'The connection of the transaction was lost; it was not committed.',
      {cause: error},
    );
  }

  private restartIdleTimer(id: string): void {
    clearTimeout(this.idleTimers.get(id));
    const timer = setTimeout(() => void this.abandon(id), IDLE_TIMEOUT_MS);
    this.idleTimers.set(id, timer);
  }

  private remove(id: string): void {
    clearTimeout(this.idleTimers.get(id));
    this.idleTimers.delete(id);
    this.open.delete(id);
  }

  private async abandon(id: string): Promise<void> {
    const transaction = this.open.get(id);
    this.remove(id);
    if (transaction !== undefined) await this.rollBackAndRelease(transaction);
  }

  /**
   * Rolls back a transaction. Closes the connection if the rollback fails,
   * because the transaction may still be open on it.
   */
  private async rollBackAndRelease(
    transaction: OpenTransaction,
  ): Promise<void> {
    const {
      connection,
      pool,
      upstreamTransactionId: upstreamTransaction,
    } = transaction;
    try {
      const body = {transaction: upstreamTransaction};
      await connection.rollback(body, ROLLBACK_TIMEOUT_MS);
    } catch {
      await connection.close();
    }
    pool.release(connection);
  }
}

function toExecutionResult(
  transaction: OpenTransaction,
  answer: StatementResponse,
): ExecutionResult {
  return {
    rows: answer.rows,
    rowCount: answer.rowCount,
    instance: transaction.pool.instance.name,
    role: 'primary',
    position: answer.position,
  };
}
