import type {LogPosition} from '@sapphireglade/decisions';
import {
  ErrorKind,
  Outcome,
  SapphiregladeError,
  SessionValues,
  TransactionState,
} from '@sapphireglade/decisions';
import type {Route} from '../configuration/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {changeSessionState} from './change-session-state.js';
import type {SessionStateChange} from './change-session-state.js';
import {recordRequest} from './record-request.js';
import {limitDeadlines} from './runnable-statement.js';
import type {SessionContext} from './session-context.js';
import {
  invalidInputError,
  shuttingDownError,
  toSapphiregladeError,
} from './session-errors.js';
import type {
  ExecutionRequest,
  RunnableStatement,
} from './runnable-statement.js';
import {SessionTransaction} from './session-transaction.js';
import type {SessionReply, SessionRequest, Statement} from './types.js';
import {StatementKind} from './types.js';

/**
 * Fraction of the latency objective for which a statement may wait for a
 * connection. After that, another proxy is the better choice for the caller.
 */
const MAXIMUM_QUEUE_FRACTION = 0.8;

/**
 * The session of one caller, which lasts as long as the caller's connection.
 *
 * Session values and prepared statements are stored here and replayed on
 * upstream connections, so each transaction may use a different connection.
 */
export class CallerSession {
  private readonly values: SessionValues;
  private state: TransactionState = TransactionState.Idle;
  private transaction: SessionTransaction | undefined;
  private ownCommit: LogPosition | undefined;
  private lastCommitGroup: string | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private running: SessionRequest | undefined;
  private isEnded = false;
  private refusesStatements = false;

  /**
   * @param context - Dependencies shared by all sessions of the process.
   * @param database - Name of the database that the caller requested.
   */
  constructor(
    private readonly context: SessionContext,
    private readonly database: string,
  ) {
    this.values = new SessionValues(context.sessionBudget);
  }

  /** Whether no transaction is open. */
  get isIdle(): boolean {
    return this.state === TransactionState.Idle;
  }

  /** Whether a transaction is open, as far as the caller was told. */
  get hasOpenTransaction(): boolean {
    return this.state === TransactionState.Open;
  }

  /** Reason why the session cannot start; undefined if it can. */
  get refusal(): ErrorKind | undefined {
    if (this.context.configuration.current === undefined) {
      return ErrorKind.NotReady;
    }
    return this.findRoute() === undefined ? ErrorKind.NotFound : undefined;
  }

  /** Serves one request. Requests of a session are served one at a time. */
  async handle(request: SessionRequest): Promise<SessionReply> {
    clearTimeout(this.idleTimer);
    this.running = request;
    const receivedAtMs = steadyNowMs();
    let outcome: Outcome = Outcome.Done;
    try {
      return await this.dispatch(request);
    } catch (error) {
      const sessionError = toSapphiregladeError(error);
      outcome = sessionError.outcome;
      return this.failed(request, sessionError);
    } finally {
      this.running = undefined;
      recordRequest(
        this.context.metrics,
        request,
        outcome,
        steadyNowMs() - receivedAtMs,
      );
      if (this.isEnded) this.discardState();
      if (this.refusesStatements) this.transaction?.rollBack();
      this.startIdleTimer();
    }
  }

  /** Ends the session after the caller disconnected and rolls back an open transaction. */
  end(): void {
    this.isEnded = true;
    clearTimeout(this.idleTimer);
    // A running statement may still bind a connection; handle() cleans up after it.
    if (this.running === undefined) this.discardState();
  }

  /** Rolls back an open transaction, and gives back what the session holds. */
  private discardState(): void {
    this.endTransaction(TransactionState.Idle);
    this.values.clear();
  }

  /**
   * Refuses all further statements, because the process is stopping. An open
   * transaction is rolled back as soon as none of its statements runs; the caller
   * learns it from the answer to its next statement.
   */
  refuseStatements(): void {
    this.refusesStatements = true;
    if (this.running === undefined) this.transaction?.rollBack();
  }

  /**
   * Returns the answer to a running request whose result is no longer awaited,
   * and ends the session.
   */
  abandonRequest(): SessionReply | undefined {
    const request = this.running;
    this.isEnded = true;
    if (request === undefined) return undefined;
    return this.failed(
      request,
      new SapphiregladeError(
        ErrorKind.OutcomeUnknown,
        'The proxy stopped while the statement was running.',
      ),
    );
  }

  private dispatch({
    requestId,
    statement,
    problem = 'The request is not a valid statement.',
  }: SessionRequest): Promise<SessionReply> {
    if (statement === undefined) throw invalidInputError(problem);
    if (this.refusesStatements) return Promise.resolve(this.refuse(statement));
    if (this.state === TransactionState.Failed) {
      return Promise.resolve(this.dispatchInFailedTransaction(statement));
    }
    switch (statement.kind) {
      case StatementKind.Begin:
        return Promise.resolve(this.begin(statement.isReadOnly));
      case StatementKind.Rollback:
        this.endTransaction(TransactionState.Idle);
        return Promise.resolve(this.answer());
      case StatementKind.Commit:
        return this.commit(requestId, statement.text);
      case StatementKind.Read:
      case StatementKind.Write:
        return this.run({
          requestId,
          isRead: statement.kind === StatementKind.Read,
          awaitsReplica: this.isAutoCommit(
            statement.kind === StatementKind.Write,
          ),
          text: statement.text,
          prepared: undefined,
          parameters: '',
        });
      case StatementKind.Execute:
        return this.execute(requestId, statement.name, statement.parameters);
      default:
        return Promise.resolve(this.change(statement));
    }
  }

  /** Refuses a statement, because the process is stopping. */
  private refuse(statement: Statement): SessionReply {
    if (this.state === TransactionState.Failed)
      return this.dispatchInFailedTransaction(statement);
    const wasOpen = this.state === TransactionState.Open;
    if (wasOpen && statement.kind === StatementKind.Rollback) {
      this.endTransaction(TransactionState.Idle);
      return this.answer();
    }
    throw shuttingDownError(wasOpen);
  }

  /** Accepts only a rollback or a commit, which also rolls back. */
  private dispatchInFailedTransaction(statement: Statement): SessionReply {
    if (statement.kind === StatementKind.Rollback) {
      this.endTransaction(TransactionState.Idle);
      return this.answer();
    }
    if (statement.kind === StatementKind.Commit) {
      this.endTransaction(TransactionState.Idle);
      throw new SapphiregladeError(
        ErrorKind.TransactionLost,
        'The transaction had failed and was rolled back.',
      );
    }
    throw invalidInputError('The transaction has failed; end it first.');
  }

  private begin(isReadOnly: boolean): SessionReply {
    if (this.transaction !== undefined) {
      throw invalidInputError('A transaction is already open.');
    }
    const route = this.route();
    const runner = this.context.runnerFor(route.group);
    this.transaction = new SessionTransaction(isReadOnly, route, runner);
    this.state = TransactionState.Open;
    return this.answer();
  }

  private async commit(requestId: string, text: string): Promise<SessionReply> {
    const {transaction} = this;
    if (transaction === undefined)
      throw invalidInputError('No transaction is open.');
    const reply = await transaction.commit(
      this.createExecutionRequest(transaction.route, {
        requestId,
        isRead: true,
        awaitsReplica: transaction.hasWritten,
        text,
        prepared: undefined,
        parameters: '',
      }),
    );
    if (transaction.hasWritten) this.recordCommit(transaction.route, reply);
    this.transaction = undefined;
    this.state = TransactionState.Idle;
    return this.answer(reply);
  }

  private async execute(
    requestId: string,
    name: string,
    parameters: string,
  ): Promise<SessionReply> {
    const prepared = this.values.prepared(name);
    if (prepared === undefined) {
      throw new SapphiregladeError(
        ErrorKind.UnknownStatement,
        `No statement is prepared as "${name}".`,
      );
    }
    return this.run({
      requestId,
      isRead: prepared.kind === 'read',
      awaitsReplica: this.isAutoCommit(prepared.kind === 'write'),
      text: undefined,
      prepared,
      parameters,
    });
  }

  private async run(statement: RunnableStatement): Promise<SessionReply> {
    const {transaction} = this;
    if (transaction !== undefined) {
      const reply = await transaction.run(
        this.createExecutionRequest(transaction.route, statement),
      );
      return this.answer(reply);
    }
    const route = this.route();
    const runner = this.context.runnerFor(route.group);
    const reply = await runner.run(
      this.createExecutionRequest(route, statement),
    );
    if (!statement.isRead) this.recordCommit(route, reply);
    return this.answer(reply);
  }

  /** Returns whether the statement is a write outside a transaction, which commits immediately. */
  private isAutoCommit(isWrite: boolean): boolean {
    return isWrite && this.transaction === undefined;
  }

  private change(statement: SessionStateChange): SessionReply {
    changeSessionState(this.values, statement, this.context.canSend);
    return this.answer();
  }

  private createExecutionRequest(
    route: Route,
    statement: RunnableStatement,
  ): ExecutionRequest {
    const startedAtMs = steadyNowMs();
    const request = {
      statement,
      route,
      values: this.values,
      startedAtMs,
      deadlineMs: startedAtMs + route.statementTimeoutMs,
      queueDeadlineMs:
        startedAtMs + route.targetLatencyMs * MAXIMUM_QUEUE_FRACTION,
      ownCommit:
        this.lastCommitGroup === route.group ? this.ownCommit : undefined,
    };
    return limitDeadlines(request, this.context.answersByMs());
  }

  private recordCommit(route: Route, reply: InstanceReply): void {
    if (reply.position === undefined) return;
    this.lastCommitGroup = route.group;
    this.ownCommit = reply.position;
  }

  private findRoute(): Route | undefined {
    return this.context.configuration.current?.routes.get(this.database);
  }

  private route(): Route {
    const route = this.findRoute();
    if (route !== undefined) return route;
    throw new SapphiregladeError(
      ErrorKind.NotFound,
      `There is no database "${this.database}".`,
    );
  }

  /** Builds the reply to a request that succeeded, with the answer of an instance if there was one. */
  private answer(reply?: InstanceReply): SessionReply {
    return {
      rows: reply?.rows ?? [],
      signature: reply?.signature,
      failure: undefined,
      state: this.state,
      position: reply?.position,
    };
  }

  /** Builds the reply to a failed request and marks an open transaction as failed. */
  private failed(
    request: SessionRequest,
    error: SapphiregladeError,
  ): SessionReply {
    this.context.metrics.increment('sapphireglade_errors_total', {
      kind: error.kind,
    });
    const isOpen = this.state === TransactionState.Open;
    if (isOpen) this.endTransaction(TransactionState.Failed);
    const {log} = this.context;
    const logFailure = error.kind === ErrorKind.Internal ? log.error : log.warn;
    logFailure('A request failed.', {
      request: request.requestId,
      statement: request.statement?.kind,
      database: this.database,
      consistency: this.findRoute()?.consistency,
      transaction: isOpen,
      kind: error.kind,
      outcome: error.outcome,
      reason: error.message,
      version: this.context.configuration.current?.version,
    });
    return {
      rows: [],
      signature: undefined,
      failure: {
        kind: error.kind,
        detail: error.message,
        retryAfterMs: error.retryAfterMs,
      },
      state: this.state,
      position: undefined,
    };
  }

  private endTransaction(state: TransactionState): void {
    this.transaction?.rollBack();
    this.transaction = undefined;
    this.state = state;
  }

  /** Starts the timer that rolls back a transaction without statements for too long. */
  private startIdleTimer(): void {
    if (this.transaction === undefined || this.isEnded) return;
    const limitMs =
      this.context.configuration.current?.transactionIdleTimeoutMs;
    if (limitMs === undefined) return;
    this.idleTimer = setTimeout(() => {
      this.context.log.info('An idle transaction was rolled back.', {
        database: this.database,
        idleMs: limitMs,
      });
      this.endTransaction(TransactionState.Failed);
    }, limitMs);
    this.idleTimer.unref();
  }
}
