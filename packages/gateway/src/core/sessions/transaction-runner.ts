import {
  ErrorKind,
  SapphiregladeError,
  TransactionState,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {steadyNow} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {BrokenAttempt} from './attempt.js';
import {attempt, synchronize} from './attempt.js';
import type {SessionContext} from './session-context.js';
import {brokenOff, refused} from './attempt-errors.js';
import type {ExecutionRequest} from './runnable-statement.js';
import {toCommand} from './runnable-statement.js';
import type {StatementExecutor} from './statement-executor.js';
import type {BoundConnection, SessionTransaction} from './transaction.js';

/** First pause after the instance was busy, in milliseconds; it doubles. */
const BUSY_PAUSE_MS = 10;

/** Runs the statements of a transaction on the connection that it is bound to. */
export class TransactionRunner {
  constructor(
    private readonly executor: StatementExecutor,
    private readonly context: SessionContext,
  ) {}

  /**
   * Runs a statement in a transaction, which begins with its first one.
   *
   * @throws SapphiregladeError; the transaction cannot go on then.
   */
  async run(
    transaction: SessionTransaction,
    request: ExecutionRequest,
  ): Promise<InstanceReply> {
    const bound = await this.bind(transaction, request);
    if (!request.statement.isRead) transaction.hasWritten = true;
    const reply = await this.send(transaction, bound, request);
    if (reply.refusal !== undefined) throw refused(reply);
    return reply;
  }

  /**
   * Commits a transaction and gives its connection back.
   *
   * @throws SapphiregladeError of kind `outcome-unknown` if the instance was
   *   asked and did not answer.
   */
  async commit(
    transaction: SessionTransaction,
    request: ExecutionRequest,
  ): Promise<InstanceReply> {
    const bound = await this.bind(transaction, request);
    const reply = await this.send(transaction, bound, request, true);
    if (reply.refusal !== undefined) throw refused(reply);
    transaction.release();
    return reply;
  }

  /** Begins the transaction upstream if that has not been done. */
  private async bind(
    transaction: SessionTransaction,
    request: ExecutionRequest,
  ): Promise<BoundConnection> {
    if (transaction.bound !== undefined) return transaction.bound;
    const bound = await this.executor.begin(
      {...request, startedAtMs: transaction.beganAtMs},
      transaction.isReadOnly,
    );
    transaction.bound = bound;
    return bound;
  }

  /** Sends a statement, again if the instance was busy and kept the transaction. */
  private async send(
    transaction: SessionTransaction,
    bound: BoundConnection,
    request: ExecutionRequest,
    isCommit = false,
  ): Promise<InstanceReply> {
    const {statement, values, deadlineMs} = request;
    const {connection} = bound;
    let pauseMs = BUSY_PAUSE_MS;
    for (;;) {
      const failure = await synchronize(
        connection,
        values,
        statement.prepared,
        deadlineMs,
      );
      if (failure !== undefined) {
        throw this.broken(transaction, request, failure, false);
      }
      const outcome = await attempt(
        connection,
        toCommand(statement, undefined),
        deadlineMs,
      );
      if (outcome.kind !== 'answered') {
        const mayBeKept = isCommit && transaction.hasWritten;
        throw this.broken(transaction, request, outcome, mayBeKept);
      }
      const {reply} = outcome;
      const isBusy = reply.refusal?.kind === ErrorKind.Overloaded;
      const isWorthWaiting = steadyNow() + pauseMs < deadlineMs;
      if (!isBusy || !isOpen(reply) || !isWorthWaiting) return reply;
      await sleep(pauseMs * (0.5 + Math.random()));
      pauseMs *= 2;
    }
  }

  /** The connection is gone or useless, and the transaction with it. */
  private broken(
    transaction: SessionTransaction,
    request: ExecutionRequest,
    outcome: BrokenAttempt,
    mayBeKept: boolean,
  ): SapphiregladeError {
    const instance = transaction.bound?.pool.endpoint.id;
    if (transaction.bound) {
      transaction.bound.pool.lastFailedAtMs = steadyNow();
    }
    transaction.discard(outcome.kind);
    const error = brokenOff(outcome, mayBeKept);
    this.context.log.info('A transaction lost its connection.', {
      request: request.statement.requestId,
      instance,
      mayBeKept,
      reason: error.message,
    });
    if (mayBeKept) return error;
    return new SapphiregladeError(
      ErrorKind.TransactionLost,
      `Nothing of the transaction is kept: ${error.message}`,
      {cause: error},
    );
  }
}

/** Says whether the transaction is still open at the instance. */
function isOpen(reply: InstanceReply): boolean {
  return reply.state === TransactionState.Open;
}
