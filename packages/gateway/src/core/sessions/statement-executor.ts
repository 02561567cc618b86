import type {LogPosition} from '@sapphireglade/decisions';
import {
  decideRetryAction,
  ErrorKind,
  formatPosition,
  RetryAction,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup} from '../groups/index.js';
import type {InstancePool} from '../pool/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceCommand, InstanceReply} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import {acknowledgeCommit} from './acknowledge-commit.js';
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
import type {ExecutionTarget} from './instance-selection.js';
import {isFreshnessUnknown, selectReadTargets} from './instance-selection.js';
import {leftLogError, refuseLeftLog} from './left-log.js';
import {awaitPrimary} from './primary-wait.js';
import {reachedPosition} from './reached-position.js';
import type {ExecutionRequest} from './runnable-statement.js';
import {toCommand} from './runnable-statement.js';
import type {ExecutionContext} from './session-context.js';
import {LocalTransaction} from './local-transaction.js';
import type {UpstreamTransaction} from './upstream-transaction.js';
import {StatementRunner} from './statement-runner.js';
import {unusableTargetError} from './target-usability.js';

/** Maximum number of attempts for one statement. */
const MAXIMUM_ATTEMPTS = 8;

/** Delay before the first retry on the same instance, in milliseconds; doubles with each retry. */
const INITIAL_RETRY_DELAY_MS = 10;

/** An operation on a connection, and how it may be routed and retried. */
interface UpstreamOperation {
  /** Returns the command for an instance. */
  readonly commandFor: (target: ExecutionTarget) => InstanceCommand;
  /** Whether a replica may serve the operation. */
  readonly allowsReplica: boolean;
  /** Whether it may be sent again even if it may have run. */
  readonly isRetryable: boolean;
  /** Whether the connection stays bound to the caller after a success. */
  readonly keepsConnection: boolean;
}

/** The state of a statement across its attempts. */
interface ExecutionState {
  readonly group: DatabaseGroup;
  readonly request: ExecutionRequest;
  readonly operation: UpstreamOperation;
  /** Instances that are skipped in further attempts. */
  readonly triedInstances: Set<string>;
  retryDelayMs: number;
  failedExecutions: number;
  /** An instance that has reported that it is not the primary. */
  rejectedPrimary: string | undefined;
}

/** The reply of a successful attempt, or the error of a failed one. */
type AttemptResult =
  | Omit<SuccessfulExecution, 'group' | 'target'>
  | {readonly error: SapphiregladeError; readonly mayBeKept: boolean};

/** An execution that succeeded, and where. */
interface SuccessfulExecution {
  readonly reply: InstanceReply;
  readonly bound: BoundConnection;
  /** What the instance's log had reached before the operation was sent. */
  readonly reachedBefore: LogPosition | undefined;
  readonly group: DatabaseGroup;
  readonly target: ExecutionTarget;
}

/** Selects an instance for each statement and runs it on a connection of this proxy. */
export class StatementExecutor extends StatementRunner {
  constructor(private readonly context: ExecutionContext) {
    super();
  }

  override async run(request: ExecutionRequest): Promise<InstanceReply> {
    const {statement} = request;
    const executed = await this.executeWithRetries(request, {
      commandFor: ({atLeast}) =>
        toCommand(statement, statement.isRead ? atLeast : undefined),
      allowsReplica: statement.isRead,
      isRetryable: statement.isRead,
      keepsConnection: false,
    });
    if (statement.awaitsReplica)
      await acknowledgeCommit({...executed, request}, this.context.log);
    return executed.reply;
  }

  override async begin(
    request: ExecutionRequest,
    isReadOnly: boolean,
  ): Promise<UpstreamTransaction> {
    const {bound, group, target} = await this.executeWithRetries(request, {
      commandFor: ({atLeast}) => ({
        kind: CommandKind.Begin,
        isReadOnly,
        atLeast,
      }),
      allowsReplica: isReadOnly,
      isRetryable: true,
      keepsConnection: true,
    });
    const {id} = target.member.instance;
    const {log} = this.context;
    return new LocalTransaction(
      bound,
      log,
      () => group.mayReceiveStatements(id, target.isPrimary),
      (reply, request, reachedBefore) =>
        acknowledgeCommit({group, target, reply, request, reachedBefore}, log),
      () => reachedPosition(group, target.member),
    );
  }

  private async executeWithRetries(
    request: ExecutionRequest,
    operation: UpstreamOperation,
  ): Promise<SuccessfulExecution> {
    const execution: ExecutionState = {
      group: this.context.groups.getOrCreate(request.route.group),
      request,
      operation,
      triedInstances: new Set(),
      retryDelayMs: INITIAL_RETRY_DELAY_MS,
      failedExecutions: 0,
      rejectedPrimary: undefined,
    };
    for (let attempt = 1; ; attempt += 1) {
      const target = await this.selectTarget(execution);
      const result = await this.tryTarget(execution, target);
      if ('reply' in result) return {...result, target, group: execution.group};
      this.logFailure(execution, target, result.error);
      const limitMs =
        result.error.kind === ErrorKind.NoConnection && !operation.allowsReplica
          ? request.queueDeadlineMs
          : request.deadlineMs;
      const isLast =
        attempt >= MAXIMUM_ATTEMPTS ||
        steadyNowMs() + execution.retryDelayMs >= limitMs;
      const canRetry = !result.mayBeKept && !isLast;
      if (!canRetry) throw result.error;
      await this.prepareRetry(execution, target, result.error);
    }
  }

  /** Acquires a connection to the target and runs the operation on it. */
  private async tryTarget(
    execution: ExecutionState,
    target: ExecutionTarget,
  ): Promise<AttemptResult> {
    const {request, operation, group} = execution;
    const {pool} = target.member;
    const withoutProof = await refuseLeftLog(group, target);
    if (withoutProof !== undefined)
      return {error: withoutProof, mayBeKept: false};
    let bound: BoundConnection;
    try {
      const connection = await pool.acquire({
        priority: request.route.priority,
        deadlineMs: request.queueDeadlineMs,
        values: request.values.values,
      });
      bound = {pool, connection};
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return {error, mayBeKept: false};
    }
    const command = operation.commandFor(target);
    const tooLong = refuseUnsendable(bound.connection, command, request);
    if (tooLong !== undefined) {
      pool.release(bound.connection);
      throw tooLong;
    }
    const failure = await synchronizeSession(bound, request, this.context.log);
    if (failure !== undefined)
      return this.discardConnection(bound, failure, false);
    const unusable = unusableTargetError(group, target);
    if (unusable !== undefined) {
      pool.release(bound.connection);
      return {error: unusable, mayBeKept: false};
    }
    const unconfirmed = refuseUnconfirmedCommit(pool, request.statement);
    if (unconfirmed !== undefined) {
      pool.release(bound.connection);
      return {error: unconfirmed, mayBeKept: false};
    }
    this.context.lateUseLog.record(request, target);
    const reachedBefore = reachedPosition(group, target.member);
    const outcome = await sendCommand(
      bound.connection,
      command,
      request.deadlineMs,
    );
    if (outcome.kind !== 'answered') {
      return this.discardConnection(bound, outcome, !operation.isRetryable);
    }
    const {reply} = outcome;
    if (!operation.allowsReplica) recordRole(group, pool, reply);
    const error =
      reply.refusal === undefined
        ? leftLogError(group, target, bound, reply)
        : refusalError(reply);
    const isKept = operation.keepsConnection && error === undefined;
    if (!isKept) pool.release(bound.connection);
    if (error !== undefined) return {error, mayBeKept: false};
    this.recordReplicaRead(execution, target, reply);
    return {reply, bound, reachedBefore};
  }

  /** Closes a connection that did not answer. */
  private discardConnection(
    {pool, connection}: BoundConnection,
    outcome: UnansweredCommand,
    hasEffect: boolean,
  ): AttemptResult {
    pool.lastFailedAtMs = steadyNowMs();
    pool.discard(connection, outcome.kind);
    const wasSent = outcome.kind === 'timed-out' || outcome.wasSent;
    const mayBeKept = hasEffect && wasSent;
    return {error: unansweredError(outcome, mayBeKept), mayBeKept};
  }

  /** Updates the state for the next attempt and waits if needed; throws if the error is final. */
  private async prepareRetry(
    execution: ExecutionState,
    target: ExecutionTarget,
    error: SapphiregladeError,
  ): Promise<void> {
    const {operation} = execution;
    const id = target.member.instance.id;
    const isRunFailure =
      error.kind === ErrorKind.RunFailed ||
      error.kind === ErrorKind.RunTimedOut;
    if (isRunFailure) execution.failedExecutions += 1;
    const action = decideRetryAction({
      kind: error.kind,
      isRetryable: operation.isRetryable,
      allowsReplica: operation.allowsReplica,
      wasSentToPrimary: target.isPrimary,
      isUnreachable: !target.member.pool.canBeReached,
      failedExecutions: execution.failedExecutions,
    });
    if (action === RetryAction.Fail) throw error;
    if (action === RetryAction.OtherInstance) execution.triedInstances.add(id);
    if (action === RetryAction.AwaitPrimary) execution.rejectedPrimary = id;
    if (action === RetryAction.SameInstanceAfterDelay) {
      await sleep(execution.retryDelayMs * (0.5 + Math.random()));
      execution.retryDelayMs *= 2;
    }
  }

  /** Selects the instance for the next attempt. */
  private async selectTarget(
    execution: ExecutionState,
  ): Promise<ExecutionTarget> {
    const {group, request, operation, triedInstances, rejectedPrimary} =
      execution;
    if (operation.allowsReplica) {
      const next = this.selectReadTarget(execution);
      if (next !== undefined) return next;
      if (isFreshnessUnknown(group, request)) {
        await this.context.commitBoundProbe.refresh(group);
        const found = this.selectReadTarget(execution);
        if (found !== undefined) return found;
      }
      // All candidates were tried. Another round may find one that has caught up.
      triedInstances.clear();
    }
    const member = await awaitPrimary(
      group,
      request.deadlineMs,
      rejectedPrimary,
    );
    const atLeast = operation.allowsReplica
      ? group.minimumReadPosition(request.ownCommit)
      : undefined;
    return {member, isPrimary: true, atLeast, freshnessPosition: undefined};
  }

  /** Returns the best instance for the read that was not tried yet, if any. */
  private selectReadTarget({
    group,
    request,
    triedInstances,
  }: ExecutionState): ExecutionTarget | undefined {
    return selectReadTargets(
      this.context,
      group,
      request.route,
      request.startedAtMs,
      request.ownCommit,
    ).find(({member}) => !triedInstances.has(member.instance.id));
  }

  /**
   * Counts a read on a replica and logs it if the log of the replica ends in an
   * older term than the recorded one, which means that it has not caught up.
   */
  private recordReplicaRead(
    {group, request}: ExecutionState,
    {member, isPrimary, freshnessPosition, atLeast}: ExecutionTarget,
    {position}: InstanceReply,
  ): void {
    if (isPrimary || freshnessPosition === undefined) return;
    this.context.metrics.increment('sapphireglade_replica_reads_total', {
      source: freshnessPosition.source,
    });
    const term = group.record?.record.term;
    if (position === undefined || term === undefined) return;
    if (position.term >= term) return;
    this.context.log.info(
      'A replica served a read in an older term than the recorded one.',
      {
        request: request.statement.requestId,
        group: group.name,
        instance: member.instance.id,
        recordedTerm: term,
        shown: formatPosition(position),
        asked: atLeast && formatPosition(atLeast),
        source: freshnessPosition.source,
        sourceAgeMs: Math.round(steadyNowMs() - freshnessPosition.sentAtMs),
        readAgeMs: Math.round(steadyNowMs() - request.startedAtMs),
      },
    );
  }

  private logFailure(
    {request}: ExecutionState,
    target: ExecutionTarget,
    error: SapphiregladeError,
  ): void {
    this.context.metrics.increment('sapphireglade_retries_total', {
      kind: error.kind,
    });
    this.context.log.info('An instance did not serve a statement.', {
      request: request.statement.requestId,
      instance: target.member.instance.id,
      isPrimary: target.isPrimary,
      remainingMs: Math.round(request.deadlineMs - steadyNowMs()),
      kind: error.kind,
      reason: error.message,
    });
  }
}

/** Records whether the recorded primary serves what only a primary can serve. */
function recordRole(
  group: DatabaseGroup,
  pool: InstancePool,
  {refusal}: InstanceReply,
): void {
  const revision = group.record?.revision;
  const isReplica = refusal?.kind === ErrorKind.NotPrimary;
  if (!isReplica || revision === undefined) pool.refusedAsPrimary = undefined;
  else if (pool.refusedAsPrimary?.revision !== revision)
    pool.refusedAsPrimary = {revision, sinceMs: steadyNowMs()};
}
