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
import type {SessionContext} from './session-context.js';
import type {
  ExecutionRequest,
  RunnableStatement,
} from './runnable-statement.js';
import {SessionTransaction} from './session-transaction.js';
import type {SessionReply, SessionRequest, Statement} from './types.js';
import {StatementKind} from './types.js';

/**
 * Part of the latency objective for which a statement may wait for a
 * connection; past it another proxy is the better choice for its caller.
 */
const MAXIMUM_QUEUE_FRACTION = 0.8;

/**
 * One caller's session, for as long as its connection is open.
 *
 * Session values and prepared names live here and are replayed upstream, so a
 * session may use another connection for each transaction.
 */
export class CallerSession {
  private readonly values = new SessionValues();
  private state: TransactionState = TransactionState.Idle;
  private transaction: SessionTransaction | undefined;
  private ownCommit: LogPosition | undefined;
  private lastCommitGroup: string | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private isBusy = false;
  private isEnded = false;

  /**
   * @param context - What every session of the process shares.
   * @param database - Name of the database that the caller asked for.
   */
  constructor(
    private readonly context: SessionContext,
    private readonly database: string,
  ) {}

  /** Whether the session is in no transaction. */
  get isIdle(): boolean {
    return this.state === TransactionState.Idle;
  }

  /** Why the session cannot begin, if it cannot. */
  get refusal(): ErrorKind | undefined {
    if (this.context.configuration.current === undefined) {
      return ErrorKind.NotReady;
    }
    return this.findRoute() === undefined ? ErrorKind.NotFound : undefined;
  }

  /** Serves one request; requests of a session are served one at a time. */
  async handle(request: SessionRequest): Promise<SessionReply> {
    clearTimeout(this.idleTimer);
    this.isBusy = true;
    const beganAtMs = steadyNowMs();
    let outcome: Outcome = Outcome.Done;
    try {
      return await this.dispatch(request);
    } catch (error) {
      const known = toSapphiregladeError(error);
      outcome = known.outcome;
      return this.failed(request, known);
    } finally {
      this.isBusy = false;
      this.count(request, outcome, steadyNowMs() - beganAtMs);
      if (this.isEnded) this.endTransaction(TransactionState.Idle);
      this.startIdleTimer();
    }
  }

  /** The caller has left; what was not committed is rolled back. */
  end(): void {
    this.isEnded = true;
    clearTimeout(this.idleTimer);
    // A statement that still runs may yet bind a connection; its end follows.
    if (!this.isBusy) this.endTransaction(TransactionState.Idle);
  }

  private dispatch({
    requestId,
    statement,
  }: SessionRequest): Promise<SessionReply> {
    if (statement === undefined)
      throw invalidInputError('It is not a statement.');
    if (this.state === TransactionState.Failed) {
      return Promise.resolve(this.dispatchInFailedTransaction(statement));
    }
    switch (statement.kind) {
      case StatementKind.Begin:
        return Promise.resolve(this.begin(statement.isReadOnly));
      case StatementKind.Rollback:
        this.endTransaction(TransactionState.Idle);
        return Promise.resolve(this.done());
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

  /** Only the end of a failed transaction is accepted. */
  private dispatchInFailedTransaction(statement: Statement): SessionReply {
    if (statement.kind === StatementKind.Rollback) {
      this.endTransaction(TransactionState.Idle);
      return this.done();
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
    return this.done();
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

  /** A write outside of a transaction commits at once. */
  private isAutoCommit(isWrite: boolean): boolean {
    return isWrite && this.transaction === undefined;
  }

  private change(
    statement: Extract<
      Statement,
      {kind: 'set-value' | 'prepare' | 'deallocate'}
    >,
  ): SessionReply {
    if (!this.storeSessionState(statement)) {
      throw new SapphiregladeError(
        ErrorKind.InvalidInput,
        'The session holds too many values, or the name is not known.',
      );
    }
    return this.done();
  }

  private storeSessionState(
    statement: Extract<
      Statement,
      {kind: 'set-value' | 'prepare' | 'deallocate'}
    >,
  ): boolean {
    const {values} = this;
    if (statement.kind === StatementKind.SetValue) {
      return values.set(statement.name, statement.value);
    }
    if (statement.kind === StatementKind.Deallocate) {
      return values.deallocate(statement.name);
    }
    const {name, preparedKind, shape} = statement;
    return values.prepare(name, {kind: preparedKind, shape});
  }

  private createExecutionRequest(
    route: Route,
    statement: RunnableStatement,
  ): ExecutionRequest {
    const startedAtMs = steadyNowMs();
    return {
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

  private answer(reply: InstanceReply): SessionReply {
    return {
      rows: reply.rows,
      signature: reply.signature,
      failure: undefined,
      state: this.state,
      position: reply.position,
    };
  }

  private done(): SessionReply {
    return {
      rows: [],
      signature: undefined,
      failure: undefined,
      state: this.state,
      position: undefined,
    };
  }

  /** Answers a request that failed; an open transaction fails with it. */
  private failed(
    request: SessionRequest,
    known: SapphiregladeError,
  ): SessionReply {
    this.context.metrics.increment('sapphireglade_errors_total', {
      kind: known.kind,
    });
    const isOpen = this.state === TransactionState.Open;
    if (isOpen) this.endTransaction(TransactionState.Failed);
    const log = this.context.log;
    const write = known.kind === ErrorKind.Internal ? log.error : log.warn;
    write('A request failed.', {
      request: request.requestId,
      statement: request.statement?.kind,
      database: this.database,
      consistency: this.findRoute()?.consistency,
      transaction: isOpen,
      kind: known.kind,
      outcome: known.outcome,
      reason: known.message,
      version: this.context.configuration.current?.version,
    });
    return {
      rows: [],
      signature: undefined,
      failure: {
        kind: known.kind,
        detail: known.message,
        retryAfterMs: known.retryAfterMs,
      },
      state: this.state,
      position: undefined,
    };
  }

  private count(
    {statement}: SessionRequest,
    outcome: Outcome,
    tookMs: number,
  ): void {
    const {metrics} = this.context;
    const labels = {statement: statement?.kind ?? 'none'};
    metrics.increment('sapphireglade_requests_total', {...labels, outcome});
    metrics.recordDuration(
      'sapphireglade_request_duration_seconds',
      tookMs,
      labels,
    );
  }

  private endTransaction(state: TransactionState): void {
    this.transaction?.rollBack();
    this.transaction = undefined;
    this.state = state;
  }

  /** Ends a transaction that stays without a statement for too long. */
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

function invalidInputError(detail: string): SapphiregladeError {
  return new SapphiregladeError(ErrorKind.InvalidInput, detail);
}

/** Keeps the kind of a known error; anything else is a fault of the program. */
function toSapphiregladeError(error: unknown): SapphiregladeError {
  if (error instanceof SapphiregladeError) return error;
  return new SapphiregladeError(ErrorKind.Internal, String(error), {
    cause: error,
  });
}
