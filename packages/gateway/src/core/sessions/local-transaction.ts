import type {LogPosition} from '@sapphireglade/decisions';
import {
  ErrorKind,
  SapphiregladeError,
  TransactionState,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import {steadyNowMs, TIMED_OUT, withTimeout} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import type {BoundConnection} from './bound-connection.js';
import type {UnansweredCommand} from './command-result.js';
import {
  refuseUnsendable,
  sendCommand,
  synchronizeSession,
} from './command-result.js';
import {
  refuseUnconfirmedCommit,
  unansweredError,
  refusalError,
} from './command-errors.js';
import {UpstreamTransaction} from './upstream-transaction.js';
import type {ExecutionRequest} from './runnable-statement.js';
import {toCommand} from './runnable-statement.js';

/** Delay before the first retry on a busy instance, in milliseconds; doubles with each retry. */
const INITIAL_BUSY_DELAY_MS = 10;

/** Time allowed for a rollback before the connection is closed, in milliseconds. */
const ROLLBACK_TIMEOUT_MS = 1_000;

/** A transaction that runs on a connection of this proxy. */
export class LocalTransaction extends UpstreamTransaction {
  private bound: BoundConnection | undefined;
  /** Whether a statement of the transaction has run. */
  private hasRun = false;
  /** Whether a write of the transaction has run. */
  private hasWritten = false;
  /** What the instance's log had reached before the last statement was sent. */
  private reachedBefore: LogPosition | undefined;

  /**
   * @param bound - The connection on which the transaction has begun.
   * @param log - Receives a line if the connection is lost.
   * @param isInstanceUsable - Returns whether the instance may receive the first
   *   statement.
   * @param acknowledge - Waits until a commit with writes may be acknowledged.
   *   Receives what the instance's log had reached before the commit was sent, if
   *   that is known and the commit has certainly written.
   * @param reachedPosition - Returns a position that the instance's log has
   *   reached by now, if one is known.
   */
  constructor(
    bound: BoundConnection,
    private readonly log: Logger,
    private readonly isInstanceUsable: () => boolean = () => true,
    private readonly acknowledge: (
      reply: InstanceReply,
      request: ExecutionRequest,
      reachedBefore: LogPosition | undefined,
    ) => Promise<void> = () => Promise.resolve(),
    private readonly reachedPosition: () => LogPosition | undefined = () =>
      undefined,
  ) {
    super();
    this.bound = bound;
  }

  override async run(request: ExecutionRequest): Promise<InstanceReply> {
    const reply = await this.send(request, false);
    if (reply.refusal !== undefined) throw refusalError(reply);
    if (!request.statement.isRead) this.hasWritten = true;
    return reply;
  }

  override async commit(
    request: ExecutionRequest,
    mayHaveWritten: boolean,
  ): Promise<InstanceReply> {
    const {bound: pending} = this;
    const unconfirmed =
      pending && refuseUnconfirmedCommit(pending.pool, request.statement);
    if (unconfirmed !== undefined) {
      this.rollBack();
      throw new SapphiregladeError(
        ErrorKind.TransactionLost,
        `The transaction was rolled back: ${unconfirmed.message}`,
        {retryAfterMs: unconfirmed.retryAfterMs, cause: unconfirmed},
      );
    }
    const reply = await this.send(request, mayHaveWritten);
    if (reply.refusal !== undefined) throw refusalError(reply);
    const bound = this.detachConnection();
    if (bound !== undefined) bound.pool.release(bound.connection);
    if (mayHaveWritten) {
      const before = this.hasWritten ? this.reachedBefore : undefined;
      await this.acknowledge(reply, request, before);
    }
    return reply;
  }

  override rollBack(): void {
    const bound = this.detachConnection();
    if (bound !== undefined) void rollBackConnection(bound);
  }

  /**
   * Sends a statement, and retries while the instance is busy and the
   * transaction is still open.
   *
   * @param request - The statement.
   * @param mayBeKept - Whether the statement makes writes permanent if it runs.
   */
  private async send(
    request: ExecutionRequest,
    mayBeKept: boolean,
  ): Promise<InstanceReply> {
    const {statement, deadlineMs} = request;
    const command = toCommand(statement, undefined);
    let delayMs = INITIAL_BUSY_DELAY_MS;
    for (;;) {
      const {bound} = this;
      if (bound === undefined) throw transactionEndedError();
      const tooLong = refuseUnsendable(bound.connection, command, request);
      if (tooLong !== undefined) {
        this.rollBack();
        throw tooLong;
      }
      const failure = await synchronizeSession(bound, request, this.log);
      if (failure !== undefined)
        throw this.discardConnection(request, failure, false);
      // After a rollback during the replay, the connection may belong to another caller.
      if (this.bound !== bound) throw transactionEndedError();
      if (!this.hasRun && !this.isInstanceUsable()) {
        this.rollBack();
        throw transactionEndedError();
      }
      this.reachedBefore = this.reachedPosition();
      const outcome = await sendCommand(bound.connection, command, deadlineMs);
      if (outcome.kind !== 'answered') {
        throw this.discardConnection(request, outcome, mayBeKept);
      }
      const {reply} = outcome;
      const isBusy = reply.refusal?.kind === ErrorKind.Overloaded;
      const canRetryInTime = steadyNowMs() + delayMs < deadlineMs;
      if (!isBusy) this.hasRun = true;
      if (!isBusy || !isTransactionOpen(reply) || !canRetryInTime) return reply;
      await sleep(delayMs * (0.5 + Math.random()));
      delayMs *= 2;
    }
  }

  /** Discards the connection, which ends the transaction, and returns the error. */
  private discardConnection(
    request: ExecutionRequest,
    outcome: UnansweredCommand,
    mayBeKept: boolean,
  ): SapphiregladeError {
    const bound = this.detachConnection();
    if (bound !== undefined) {
      bound.pool.lastFailedAtMs = steadyNowMs();
      bound.pool.discard(bound.connection, outcome.kind);
    }
    const error = unansweredError(outcome, mayBeKept);
    this.log.info('A transaction lost its connection.', {
      request: request.statement.requestId,
      instance: bound?.pool.endpoint.id,
      mayBeKept,
      reason: error.message,
    });
    if (mayBeKept) return error;
    return new SapphiregladeError(
      ErrorKind.TransactionLost,
      `The transaction was rolled back: ${error.message}`,
      {cause: error},
    );
  }

  private detachConnection(): BoundConnection | undefined {
    const {bound} = this;
    this.bound = undefined;
    return bound;
  }
}

function transactionEndedError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.TransactionLost,
    'The transaction has ended and was rolled back.',
  );
}

/** Returns whether the transaction is still open on the instance. */
function isTransactionOpen(reply: InstanceReply): boolean {
  return reply.state === TransactionState.Open;
}

/** Rolls back and releases the connection, or closes it if the rollback fails. */
async function rollBackConnection({
  pool,
  connection,
}: BoundConnection): Promise<void> {
  if (connection.isOpen && connection.state === TransactionState.Idle) {
    pool.release(connection);
    return;
  }
  const answer = await withTimeout(
    connection.run({kind: CommandKind.Rollback}),
    ROLLBACK_TIMEOUT_MS,
  ).catch((error: Error) => error);
  if (answer === TIMED_OUT || answer instanceof Error) {
    pool.discard(connection, 'the rollback was not answered');
    return;
  }
  pool.release(connection);
}
