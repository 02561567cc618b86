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

/** When a caller should come back while a group has no primary. */
const NO_PRIMARY_RETRY_AFTER_MS = 500;

/** When a caller should come back after a refusal that names no time. */
const DEFAULT_RETRY_AFTER_MS = 200;

/** The primary of a group, where writes and transactions run. */
interface PrimaryTarget {
  readonly group: GroupResource;
  readonly admission: InstanceAdmission;
  /** Term in which a statement must run. */
  readonly term: number;
}

/** Runs requests on the instances that this process owns. */
export class StatementExecutor {
  private readonly reads: ReadExecutor;
  private readonly admissions = new WeakMap<InstancePool, InstanceAdmission>();

  /**
   * @param context - What every task may use.
   * @param owned - The pools of this process.
   * @param confirmer - Waits for the confirmation of writes.
   * @param replicationLag - Refuses writes that could not be confirmed in time.
   * @param transactions - The open transactions.
   * @param remote - What other owners see of instances.
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
   * @param deadlineMs - How long its answer is of use, in milliseconds.
   * @returns The answer; a failure is part of it, never thrown.
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
    const observer = new ExecutionRecorder(this.context, request);
    const instance = target.admission.pool.instance.name;
    observer.routed(instance, 'primary', 'it may serve this write');
    this.replicationLag.assertConfirmable(target.group, remainingMs(endAtMs));
    let sentAtMs = performance.now();
    const work = this.toUpstreamOperation(request, endAtMs);
    const answer = await target.admission.run(work, connection => {
      observer.admitted(instance);
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
    observer.ran(instance, answer.position);
    await this.awaitConfirmation(
      target.group,
      instance,
      answer,
      sentAtMs,
      endAtMs,
    );
    observer.confirmed(answer.position);
    return toExecutionResult(answer, target);
  }

  private async begin(
    request: Extract<ExecutionRequest, {type: 'begin-transaction'}>,
    endAtMs: number,
  ): Promise<ExecutionResult> {
    const target = this.findPrimaryTarget(
      this.requireOwnedGroup(request.group),
    );
    const {admission: gate, term} = target;
    this.assertCanPinConnection(gate);
    const work = this.toUpstreamOperation(request, endAtMs);
    const {access, caller} = request;
    const {connection, answer} = await gate.runAndKeepConnection(work, opened =>
      opened.begin({access, term}, remainingMs(endAtMs)),
    );
    const transaction = this.transactions.add({
      caller,
      group: target.group.name,
      connection,
      pool: gate.pool,
      upstreamTransactionId: answer.transaction ?? '',
      term,
    });
    return {...toExecutionResult(answer, target), transaction};
  }

  /** Keeps one connection free of transactions, which may hold theirs long. */
  private assertCanPinConnection(gate: InstanceAdmission): void {
    const {statementLimit, instance} = gate.pool;
    const pinned = this.transactions.countForPool(gate.pool);
    gate.setPinnedConnections(pinned);
    if (pinned < Math.max(1, statementLimit - 1)) return;
    throw new SapphiregladeError(
      ErrorKind.Overloaded,
      `Open transactions hold the connections to ${instance.name}.`,
      {outcome: Outcome.NotRun, retryAfterMs: gate.computeRetryAfterMs()},
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
    const known = this.admissions.get(pool);
    if (known !== undefined) return known;
    const gate = new InstanceAdmission(pool);
    this.admissions.set(pool, gate);
    return gate;
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
    const written = {group, primary, position, sentAtMs, deadlineAtMs};
    const end = await this.confirmer.wait(written);
    if (end === ConfirmationState.Confirmed) return;
    const reason =
      end === ConfirmationState.Superseded
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
    const gate = this.findAdmission(group.name, view.primary);
    if (gate === undefined) {
      throw new SapphiregladeError(
        ErrorKind.NoOwner,
        `This proxy holds no connections to ${view.primary}.`,
        {retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS},
      );
    }
    return {group, admission: gate, term: view.term};
  }

  /** A group to whose instances this process holds connections. */
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

/** Turns an upstream's answer into the result for the entry proxy. */
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

/** Every refusal that may pass says when to come back. */
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
