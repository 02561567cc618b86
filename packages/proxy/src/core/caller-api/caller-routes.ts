import type {CallerResource, SessionState} from '@sapphireglade/decisions';
import {
  ErrorKind,
  findGroup,
  findSeenPosition,
  requiresLatest,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {
  CallerStatementRequest,
  ExecutionResponse,
} from '@sapphireglade/protocol';
import {
  callerBeginRequestSchema,
  callerStatementRequestSchema,
  callerFinishRequestSchema,
  callerTransactionStatementRequestSchema,
} from '@sapphireglade/protocol';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {ProxyContext} from '../context/index.js';
import type {RequestRouter} from '../instrumentation/index.js';
import type {ResponseContext} from './responses.js';
import {sendExecutionResponse} from './responses.js';
import type {CallerAuthenticator} from './caller-authenticator.js';
import {
  assertGranted,
  parseBody,
  readSession,
  resolveRequestId,
} from './request-input.js';
import type {Readiness} from './readiness.js';
import type {TransactionHandle} from './transaction-handle.js';
import {
  decodeTransactionHandle,
  encodeTransactionHandle,
} from './transaction-handle.js';

/** Advised retry delay while this proxy is not ready, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 1_000;

/** HTTP routes of the caller API. */
export class CallerRoutes {
  /**
   * @param context - Context shared by all tasks.
   * @param router - Routes requests to owners.
   * @param authenticator - Authenticates callers.
   * @param readiness - Reports whether this proxy accepts requests.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly router: RequestRouter,
    private readonly authenticator: CallerAuthenticator,
    private readonly readiness: Readiness,
  ) {}

  /** Registers the routes on a server. */
  register(server: FastifyInstance): void {
    server.post('/v1/statements', (request, reply) =>
      this.statement(request, reply),
    );
    server.post('/v1/transactions', (request, reply) =>
      this.begin(request, reply),
    );
    const path = '/v1/transactions/:handle';
    server.post(`${path}/statements`, (request, reply) =>
      this.transactionStatement(request, reply),
    );
    server.post(`${path}/commit`, (request, reply) =>
      this.finish(request, reply, true),
    );
    server.post(`${path}/rollback`, (request, reply) =>
      this.finish(request, reply, false),
    );
  }

  private async statement(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<void> {
    const caller = await this.authenticateIfReady(request);
    const body = parseBody(callerStatementRequestSchema, request.body);
    assertGranted(caller, body.group, body.access);
    const responseContext = this.answerContext(request, body.group);
    const {sql, parameters, access, idempotent} = body;
    const execution = await this.router.route(
      {
        type: 'execute',
        requestId: responseContext.requestId,
        caller: caller.name,
        group: body.group,
        sql,
        parameters,
        access,
        idempotent,
        allowedAgeMs: this.resolveAllowedAgeMs(body, responseContext.session),
        minimumPosition: findSeenPosition(responseContext.session, body.group),
      },
      body.deadlineMs,
    );
    await sendExecutionResponse(reply, responseContext, execution);
  }

  private async begin(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<void> {
    const caller = await this.authenticateIfReady(request);
    const body = parseBody(callerBeginRequestSchema, request.body);
    assertGranted(caller, body.group, body.access);
    const responseContext = this.answerContext(request, body.group);
    const execution = await this.router.route(
      {
        type: 'begin-transaction',
        requestId: responseContext.requestId,
        caller: caller.name,
        group: body.group,
        access: body.access,
        minimumPosition: findSeenPosition(responseContext.session, body.group),
      },
      body.deadlineMs,
    );
    const handle = createTransactionHandle(body.group, execution);
    await sendExecutionResponse(reply, responseContext, execution, handle);
  }

  private async transactionStatement(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<void> {
    const caller = await this.authenticateCaller(request);
    const handle = this.readHandle(request);
    const body = parseBody(
      callerTransactionStatementRequestSchema,
      request.body,
    );
    assertGranted(caller, handle.group, body.access);
    const responseContext = this.answerContext(request, handle.group);
    const {sql, parameters, access} = body;
    const execution = await this.router.routeTo(
      handle.owner,
      {
        type: 'transaction-statement',
        requestId: responseContext.requestId,
        caller: caller.name,
        group: handle.group,
        sql,
        parameters,
        access,
        transaction: handle.transaction,
        ownerBoot: handle.boot,
      },
      body.deadlineMs,
    );
    await sendExecutionResponse(reply, responseContext, execution);
  }

  private async finish(
    request: FastifyRequest,
    reply: FastifyReply,
    commit: boolean,
  ): Promise<void> {
    const caller = await this.authenticateCaller(request);
    const handle = this.readHandle(request);
    const body = parseBody(callerFinishRequestSchema, request.body);
    const responseContext = this.answerContext(request, handle.group);
    const execution = await this.router.routeTo(
      handle.owner,
      {
        type: 'finish-transaction',
        requestId: responseContext.requestId,
        caller: caller.name,
        group: handle.group,
        transaction: handle.transaction,
        ownerBoot: handle.boot,
        commit,
      },
      body.deadlineMs,
    );
    await sendExecutionResponse(reply, responseContext, execution);
  }

  /** Authenticates the caller, after checking that this proxy is ready. */
  private async authenticateIfReady(
    request: FastifyRequest,
  ): Promise<CallerResource> {
    if (!this.readiness.isReady()) {
      throw new SapphiregladeError(
        ErrorKind.NotReady,
        'This proxy does not take requests at present.',
        {retryAfterMs: NOT_READY_RETRY_AFTER_MS},
      );
    }
    return this.authenticateCaller(request);
  }

  /**
   * Authenticates the caller without a readiness check: a transaction in
   * progress continues during a stop.
   */
  private authenticateCaller(request: FastifyRequest): Promise<CallerResource> {
    return this.authenticator.authenticate(request.headers.authorization);
  }

  private answerContext(
    request: FastifyRequest,
    group: string,
  ): ResponseContext {
    const {vm, sessionSecrets} = this.context.settings;
    return {
      requestId: resolveRequestId(request.body),
      group,
      proxy: vm,
      session: readSession(request, sessionSecrets),
      sessionSecrets,
    };
  }

  private readHandle(request: FastifyRequest): TransactionHandle {
    return decodeTransactionHandle((request.params as {handle: string}).handle);
  }

  /**
   * Returns the allowed age of a read; 0 for a session that no longer lists
   * the group, because it must read the latest state.
   */
  private resolveAllowedAgeMs(
    body: CallerStatementRequest,
    session: SessionState,
  ): number {
    if (requiresLatest(session, body.group)) return 0;
    if (body.allowedAgeMs !== undefined) return body.allowedAgeMs;
    const group = findGroup(this.context.configuration.value, body.group);
    return group?.allowedAgeMs ?? 0;
  }
}

/** Returns the handle of a transaction that began, undefined on failure. */
function createTransactionHandle(
  group: string,
  {owner, ownerBoot, result}: ExecutionResponse,
): string | undefined {
  const transaction = result?.transaction;
  if (transaction === undefined) return undefined;
  return encodeTransactionHandle({group, owner, boot: ownerBoot, transaction});
}
