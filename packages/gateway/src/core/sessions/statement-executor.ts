import {
  decideRetryAction,
  ErrorKind,
  formatPosition,
  RetryAction,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import type {CommandResult, UnansweredCommand} from './command-result.js';
import {sendCommand, synchronizeSession} from './command-result.js';
import {unansweredError, refusalError} from './command-errors.js';
import type {ExecutionTarget} from './instance-selection.js';
import {isFreshnessUnknown, selectReadTargets} from './instance-selection.js';
import {awaitPrimary} from './primary-wait.js';
import type {ExecutionRequest} from './runnable-statement.js';
import {toCommand} from './runnable-statement.js';
import type {ExecutionContext} from './session-context.js';
import type {BoundConnection} from './local-transaction.js';
import {LocalTransaction} from './local-transaction.js';
import type {UpstreamTransaction} from './upstream-transaction.js';
import {StatementRunner} from './statement-runner.js';

/** Most times that one statement is sent. */
const MAXIMUM_ATTEMPTS = 8;

/** First pause before the same instance is asked again, in milliseconds; it doubles. */
const INITIAL_RETRY_DELAY_MS = 10;

/** What is done on a connection, and what that allows. */
interface UpstreamOperation {
  /** Sends the command. */
  readonly run: (
    target: ExecutionTarget,
    bound: BoundConnection,
  ) => Promise<CommandResult>;
  /** Whether a replica may serve it. */
  readonly allowsReplica: boolean;
  /** Whether it may be sent again although it may have run. */
  readonly isRepeatable: boolean;
  /** Whether the connection stays with the caller after a success. */
  readonly keepsConnection: boolean;
}

/** How far a statement has come. */
interface ExecutionState {
  readonly group: DatabaseGroup;
  readonly request: ExecutionRequest;
  readonly operation: UpstreamOperation;
  /** Instances that are not asked again. */
  readonly triedInstances: Set<string>;
  retryDelayMs: number;
  failedRuns: number;
  /** An instance that has refused to be the primary. */
  rejectedPrimary: string | undefined;
}

/** A success, or the error of an attempt that failed. */
type AttemptResult =
  | {readonly reply: InstanceReply; readonly bound: BoundConnection}
  | {readonly error: SapphiregladeError; readonly mayBeKept: boolean};

/** Finds an instance for a statement and runs it there, on a connection of this proxy. */
export class StatementExecutor extends StatementRunner {
  constructor(private readonly context: ExecutionContext) {
    super();
  }

  override async run(request: ExecutionRequest): Promise<InstanceReply> {
    const {statement, deadlineMs} = request;
    const {reply} = await this.executeWithRetries(request, {
      run: ({atLeast}, {connection}) =>
        sendCommand(
          connection,
          toCommand(statement, statement.isRead ? atLeast : undefined),
          deadlineMs,
        ),
      allowsReplica: statement.isRead,
      isRepeatable: statement.isRead,
      keepsConnection: false,
    });
    return reply;
  }

  override async begin(
    request: ExecutionRequest,
    isReadOnly: boolean,
  ): Promise<UpstreamTransaction> {
    const {bound} = await this.executeWithRetries(request, {
      run: ({atLeast}, {connection}) =>
        sendCommand(
          connection,
          {kind: CommandKind.Begin, isReadOnly, atLeast},
          request.deadlineMs,
        ),
      allowsReplica: isReadOnly,
      isRepeatable: true,
      keepsConnection: true,
    });
    return new LocalTransaction(bound, this.context.log);
  }

  private async executeWithRetries(
    request: ExecutionRequest,
    work: UpstreamOperation,
  ): Promise<{reply: InstanceReply; bound: BoundConnection}> {
    const progress: ExecutionState = {
      group: this.context.groups.getOrCreate(request.route.group),
      request,
      operation: work,
      triedInstances: new Set(),
      retryDelayMs: INITIAL_RETRY_DELAY_MS,
      failedRuns: 0,
      rejectedPrimary: undefined,
    };
    for (let count = 1; ; count += 1) {
      const target = await this.selectTarget(progress);
      const result = await this.tryTarget(progress, target);
      if ('reply' in result) return result;
      this.logFailure(progress, target, result.error);
      const limitMs =
        result.error.kind === ErrorKind.NoConnection && !work.allowsReplica
          ? request.queueDeadlineMs
          : request.deadlineMs;
      const isLast =
        count >= MAXIMUM_ATTEMPTS ||
        steadyNowMs() + progress.retryDelayMs >= limitMs;
      const mayGoOn = !result.mayBeKept && !isLast;
      if (!mayGoOn) throw result.error;
      await this.prepareRetry(progress, target, result.error);
    }
  }

  /** Takes a connection to the target and does the work on it. */
  private async tryTarget(
    progress: ExecutionState,
    target: ExecutionTarget,
  ): Promise<AttemptResult> {
    const {request, operation: work, group} = progress;
    const {pool} = target.member;
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
    const failure = await synchronizeSession(
      bound.connection,
      request.values,
      request.statement.prepared,
      request.deadlineMs,
    );
    if (failure !== undefined)
      return this.discardConnection(bound, failure, false);
    if (target.isPrimary && !isStillPrimary(group, target)) {
      pool.release(bound.connection);
      return {error: primaryReplacedError(group), mayBeKept: false};
    }
    const outcome = await work.run(target, bound);
    if (outcome.kind !== 'answered') {
      return this.discardConnection(bound, outcome, !work.isRepeatable);
    }
    const {reply} = outcome;
    const isKept = work.keepsConnection && reply.refusal === undefined;
    if (!isKept) pool.release(bound.connection);
    if (reply.refusal === undefined) {
      this.recordReplicaRead(progress, target, reply);
      return {reply, bound};
    }
    return {error: refusalError(reply), mayBeKept: false};
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

  /** Waits and remembers what the next attempt needs to know. */
  private async prepareRetry(
    progress: ExecutionState,
    target: ExecutionTarget,
    error: SapphiregladeError,
  ): Promise<void> {
    const {operation: work} = progress;
    const id = target.member.instance.id;
    if (error.kind === ErrorKind.NoFreshReplica) {
      target.member.pool.lastBehindAtMs = steadyNowMs();
    }
    const isRunFailure =
      error.kind === ErrorKind.RunFailed ||
      error.kind === ErrorKind.RunTimedOut;
    if (isRunFailure) progress.failedRuns += 1;
    const step = decideRetryAction({
      kind: error.kind,
      isRetryable: work.isRepeatable,
      allowsReplica: work.allowsReplica,
      wasSentToPrimary: target.isPrimary,
      failedExecutions: progress.failedRuns,
    });
    if (step === RetryAction.Fail) throw error;
    if (step === RetryAction.OtherInstance) progress.triedInstances.add(id);
    if (step === RetryAction.AwaitPrimary) progress.rejectedPrimary = id;
    if (step === RetryAction.SameInstanceAfterDelay) {
      await sleep(progress.retryDelayMs * (0.5 + Math.random()));
      progress.retryDelayMs *= 2;
    }
  }

  /** Chooses the instance that is asked next. */
  private async selectTarget(
    progress: ExecutionState,
  ): Promise<ExecutionTarget> {
    const {
      group,
      request,
      operation: work,
      triedInstances: tried,
      rejectedPrimary: unsuitable,
    } = progress;
    if (work.allowsReplica) {
      const next = this.selectReadTarget(progress);
      if (next !== undefined) return next;
      if (isFreshnessUnknown(group, request)) {
        await this.context.surveys.refresh(group);
        const found = this.selectReadTarget(progress);
        if (found !== undefined) return found;
      }
      // All have been asked; a second round may find one that has caught up.
      tried.clear();
    }
    const member = await awaitPrimary(group, request.deadlineMs, unsuitable);
    const atLeast = work.allowsReplica
      ? group.minimumReadPosition(request.ownCommit)
      : undefined;
    return {member, isPrimary: true, atLeast, freshnessPosition: undefined};
  }

  /** The best instance for a read that was not asked yet. */
  private selectReadTarget({
    group,
    request,
    triedInstances: tried,
  }: ExecutionState): ExecutionTarget | undefined {
    return selectReadTargets(
      this.context,
      group,
      request.route,
      request.startedAtMs,
      request.ownCommit,
    ).find(({member}) => !tried.has(member.instance.id));
  }

  /** A replica whose log ends in a term before the recorded one has not caught up. */
  private recordReplicaRead(
    {group, request}: ExecutionState,
    {member, isPrimary, freshnessPosition: basis, atLeast}: ExecutionTarget,
    {position}: InstanceReply,
  ): void {
    if (isPrimary || basis === undefined) return;
    this.context.metrics.increment('sapphireglade_replica_reads_total', {
      source: basis.source,
    });
    const term = group.record?.record.term;
    if (position === undefined || term === undefined) return;
    if (position.term >= term) return;
    this.context.log.info('A read ran in an older term than is recorded.', {
      request: request.statement.requestId,
      group: group.name,
      instance: member.instance.id,
      recordedTerm: term,
      shown: formatPosition(position),
      asked: atLeast && formatPosition(atLeast),
      source: basis.source,
      sourceAgeMs: Math.round(steadyNowMs() - basis.sentAtMs),
      readAgeMs: Math.round(steadyNowMs() - request.startedAtMs),
    });
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

/** Says whether a primary may still be used, just before it is. */
function isStillPrimary(
  group: DatabaseGroup,
  target: ExecutionTarget,
): boolean {
  const primary = group.usablePrimary();
  return (
    typeof primary === 'object' &&
    primary.instance.id === target.member.instance.id
  );
}

function primaryReplacedError(group: DatabaseGroup): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NotPrimary,
    `The primary of group ${group.name} was taken out of use.`,
    {retryAfterMs: INITIAL_RETRY_DELAY_MS},
  );
}
