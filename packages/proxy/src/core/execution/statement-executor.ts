import type {GroupResource} from '@sapphireglade/decisions';
import {
  ConfirmationState,
  ErrorKind,
  findCaller,
  findGroup,
  Outcome,
  RetryAdvice,
  RetryBudget,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {
  ExecuteRequest,
  ExecutionResponse,
  ExecutionRequest,
  ExecutionResult,
  StatementResponse,
} from '@sapphireglade/protocol';
import type {
  ReplicationLagTracker,
  WriteConfirmer,
} from '../confirmation/index.js';
import type {ProxyContext} from '../context/index.js';
import {ExecutionRecorder} from '../instrumentation/index.js';
import type {InstancePool, OwnedInstances} from '../pool/index.js';
import type {UpstreamOperation} from './instance-admission.js';
import {InstanceAdmission} from './instance-admission.js';
import {ReadExecutor} from './read-executor.js';
import type {RemoteObservations} from './remote-observations.js';
import type {TransactionTable} from './transaction-table.js';

/** Retry delay for callers while a group has no primary, in milliseconds. */
const NO_PRIMARY_RETRY_AFTER_MS = 500;

/** Mean retry delay for a refusal that names none, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 200;

/** The primary of a group, where writes and transactions run. */
interface PrimaryTarget {
  readonly group: GroupResource;
  readonly admission: InstanceAdmission;
  /** Term in which the statement must run. */
  readonly term: number;
}

/** Runs requests on the instances that this process owns. */
export class StatementExecutor {
  private readonly reads: ReadExecutor;
  private readonly admissions = new WeakMap<InstancePool, InstanceAdmission>();

  /**
   * @param context - The shared state of this process.
   * @param owned - The pools of this process.
   * @param confirmer - Waits for the confirmation of writes.
   * @param replicationLag - Refuses writes that cannot be confirmed in time.
   * @param transactions - The open transactions of this process.
   * @param remote - Observations fetched from other owners.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly owned: OwnedInstances,
    private readonly confirmer: WriteConfirmer,
    private readonly replicationLag: ReplicationLagTracker,
    private readonly transactions: TransactionTable,
    remote: RemoteObservations,
  ) {
    const sources = {
      context,
      owned,
      findAdmission: (group: string, instance: string) =>
        this.findAdmission(group, instance),
    };
    this.reads = new ReadExecutor(
      sources,
      owned.freshness,
      new RetryBudget(),
      remote,
    );
  }

  /**
   * Runs a request.
   *
   * @param request - The request, from this proxy or from another one.
   * @param deadlineMs - Time to the deadline of the request, in milliseconds.
   * @returns The response; a failure is reported in it and never thrown.
   */
  async execute(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    const endAtMs = performance.now() + deadlineMs;
    try {
      return this.answer(request, await this.run(request, endAtMs));
    } catch (error) {
      return this.failure(request, error);
    }
  }

  private run(
    request: ExecutionRequest,
    endAtMs: number,
  ): Promise<ExecutionResult> {
    switch (request.type) {
      case 'execute':
        return this.runStatement(request, endAtMs);
      case 'begin-transaction':
        return this.begin(request, endAtMs);
      case 'transaction-statement':
        return this.transactions.statement(request, remainingMs(endAtMs));
      case 'finish-transaction':
        return this.finish(request, endAtMs);
    }
  }

  private runStatement(
    request: ExecuteRequest,
    endAtMs: number,
  ): Promise<ExecutionResult> {
    if (request.access === 'write') return this.write(request, endAtMs);
    const group = this.requireOwnedGroup(request.group);
    return this.reads.run(
      request,
      group,
      this.toUpstreamOperation(request, endAtMs),
    );
  }

  private async write(
    request: ExecuteRequest,
    endAtMs: number,
  ): Promise<ExecutionResult> {
    const target = this.findPrimaryTarget(
      this.requireOwnedGroup(request.group),
    );
    const recorder = new ExecutionRecorder(this.context, request);
    const instance = target.admission.pool.instance.name;
    recorder.routed(instance, 'primary', 'it may serve this write');
    this.replicationLag.assertConfirmable(target.group, remainingMs(endAtMs));
    let sentAtMs = performance.now();
    const work = this.toUpstreamOperation(request, endAtMs);
    const answer = await target.admission.run(work, connection => {
      recorder.admitted(instance);
      sentAtMs = performance.now();
      return connection.statement(
        {
          sql: request.sql,
          parameters: request.parameters,
          access: request.access,
          term: target.term,
        },
        remainingMs(endAtMs),
      );
    });
    recorder.ran(instance, answer.position);
    await this.awaitConfirmation(
      target.group,
      instance,
      answer,
      sentAtMs,
      endAtMs,
    );
    recorder.confirmed(answer.position);
    return toExecutionResult(answer, target);
  }

  private async begin(
    request: Extract<ExecutionRequest, {type: 'begin-transaction'}>,
    endAtMs: number,
  ): Promise<ExecutionResult> {
    const target = this.findPrimaryTarget(
      this.requireOwnedGroup(request.group),
    );
    const {admission, term} = target;
    this.assertCanPinConnection(admission);
    const work = this.toUpstreamOperation(request, endAtMs);
    const {access, caller} = request;
    const {connection, answer} = await admission.runAndKeepConnection(
      work,
      opened => opened.begin({access, term}, remainingMs(endAtMs)),
    );
    const transaction = this.transactions.add({
      caller,
      group: target.group.name,
      connection,
      pool: admission.pool,
      upstreamTransactionId: answer.transaction ?? '',
      term,
    });
    return {...toExecutionResult(answer, target), transaction};
  }

  /**
   * Refuses a transaction that would pin the last connection. Transactions may
   * hold theirs for long, so one connection stays free for other statements.
   */
  private assertCanPinConnection(admission: InstanceAdmission): void {
    const {statementLimit, instance} = admission.pool;
    const pinned = this.transactions.countForPool(admission.pool);
    admission.setPinnedConnections(pinned);
    if (pinned < Math.max(1, statementLimit - 1)) return;
    throw new SapphiregladeError(
      ErrorKind.Overloaded,
      `Open transactions hold the connections to ${instance.name}.`,
      {outcome: Outcome.NotRun, retryAfterMs: admission.computeRetryAfterMs()},
    );
  }

  private toUpstreamOperation(
    request: ExecutionRequest & {access: 'read' | 'write'},
    endAtMs: number,
  ): UpstreamOperation {
    const {caller, access} = request;
    const snapshot = this.context.configuration.value;
    const weight = findCaller(snapshot, caller)?.weight ?? 1;
    return {caller, weight, access, deadlineAtMs: endAtMs};
  }

  private findAdmission(
    group: string,
    instance: string,
  ): InstanceAdmission | undefined {
    const pool = this.owned.pool(group, instance);
    if (pool === undefined) return undefined;
    const existing = this.admissions.get(pool);
    if (existing !== undefined) return existing;
    const admission = new InstanceAdmission(pool);
    this.admissions.set(pool, admission);
    return admission;
  }

  private async finish(
    request: Extract<ExecutionRequest, {type: 'finish-transaction'}>,
    endAtMs: number,
  ): Promise<ExecutionResult> {
    const sentAtMs = performance.now();
    const {result, answer} = await this.transactions.finish(
      request,
      remainingMs(endAtMs),
    );
    if (request.commit && answer.rowCount > 0) {
      const group = this.requireGroup(request.group);
      await this.awaitConfirmation(
        group,
        result.instance,
        answer,
        sentAtMs,
        endAtMs,
      );
    }
    return result;
  }

  private async awaitConfirmation(
    group: GroupResource,
    primary: string,
    {position}: StatementResponse,
    sentAtMs: number,
    deadlineAtMs: number,
  ): Promise<void> {
    const write = {group, primary, position, sentAtMs, deadlineAtMs};
    const state = await this.confirmer.wait(write);
    if (state === ConfirmationState.Confirmed) return;
    const reason =
      state === ConfirmationState.Superseded
        ? 'a majority left its term before it was confirmed'
        : 'a majority did not confirm it in time';
    throw new SapphiregladeError(
      ErrorKind.RanUnconfirmed,
      `The write ran, but ${reason}.`,
    );
  }

  private findPrimaryTarget(group: GroupResource): PrimaryTarget {
    const view = this.context.groupViews.get(group.name);
    if (view === undefined) throw noPrimaryError(group.name);
    const admission = this.findAdmission(group.name, view.primary);
    if (admission === undefined) {
      throw new SapphiregladeError(
        ErrorKind.NoOwner,
        `This proxy holds no connections to ${view.primary}.`,
        {retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS},
      );
    }
    return {group, admission, term: view.term};
  }

  /**
   * Returns a group to at least one of whose instances this process holds
   * connections.
   */
  private requireOwnedGroup(name: string): GroupResource {
    const group = this.requireGroup(name);
    const isOwned = group.instances.some(
      instance => this.owned.pool(name, instance.name) !== undefined,
    );
    if (isOwned) return group;
    throw new SapphiregladeError(
      ErrorKind.NoOwner,
      `This proxy holds no connections to the group ${name}.`,
      {retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS},
    );
  }

  private requireGroup(name: string): GroupResource {
    const group = findGroup(this.context.configuration.value, name);
    if (group !== undefined) return group;
    throw new SapphiregladeError(
      ErrorKind.NotFound,
      `There is no group ${name}.`,
    );
  }

  private answer(
    request: ExecutionRequest,
    result: ExecutionResult,
  ): ExecutionResponse {
    return {...this.responseFields(request), result};
  }

  private failure(
    request: ExecutionRequest,
    cause: unknown,
  ): ExecutionResponse {
    const error =
      cause instanceof SapphiregladeError
        ? cause
        : new SapphiregladeError(ErrorKind.Internal, String(cause), {
            outcome: Outcome.Unknown,
          });
    const {kind, message, outcome} = error;
    const retryAfterMs = findRetryAfterMs(error);
    if (outcome === Outcome.NotRun) {
      const {group} = request;
      this.context.metrics.increment('sapphireglade_refusals_total', {
        group,
        kind,
      });
    }
    return {
      ...this.responseFields(request),
      error: {kind, message, outcome, retryAfterMs},
    };
  }

  private responseFields(request: ExecutionRequest): ExecutionResponse {
    const {process, boot} = this.context.identity;
    const view = this.context.groupViews.get(request.group);
    return {
      owner: process,
      ownerBoot: boot,
      view: view && {...view, termStarts: [...view.termStarts]},
    };
  }
}

/** Converts an upstream response to the result sent to the entry proxy. */
function toExecutionResult(
  answer: StatementResponse,
  target: PrimaryTarget,
): ExecutionResult {
  return {
    rows: answer.rows,
    rowCount: answer.rowCount,
    instance: target.admission.pool.instance.name,
    role: 'primary',
    position: answer.position,
  };
}

/**
 * Returns the retry delay of an error that can be retried, jittered by default.
 */
function findRetryAfterMs(error: SapphiregladeError): number | undefined {
  if (error.retryAfterMs !== undefined) return error.retryAfterMs;
  if (error.definition.retry !== RetryAdvice.AfterDelay) return undefined;
  return Math.ceil(DEFAULT_RETRY_AFTER_MS * (0.5 + Math.random()));
}

function remainingMs(endAtMs: number): number {
  return Math.max(1, endAtMs - performance.now());
}

function noPrimaryError(group: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoPrimary,
    `The group ${group} has no known primary.`,
    {retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS},
  );
}
