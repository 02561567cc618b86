import {
  decideNextStep,
  ErrorKind,
  formatPosition,
  NextStep,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup} from '../groups/index.js';
import {steadyNow} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import type {Attempt, BrokenAttempt} from './attempt.js';
import {attempt, synchronize} from './attempt.js';
import {brokenOff, refused} from './attempt-errors.js';
import type {ReadTarget} from './instance-selection.js';
import {isFreshnessUnknown, selectReadTargets} from './instance-selection.js';
import {awaitPrimary} from './primary-wait.js';
import type {ExecutionRequest} from './runnable-statement.js';
import {toCommand} from './runnable-statement.js';
import type {ExecutionContext} from './session-context.js';
import type {BoundConnection} from './local-transaction.js';
import {LocalTransaction} from './local-transaction.js';
import type {PlacedTransaction} from './placed-transaction.js';
import {StatementRunner} from './statement-runner.js';

/** Most times that one statement is sent. */
const MAXIMUM_ATTEMPTS = 8;

/** First pause before the same instance is asked again, in milliseconds; it doubles. */
const FIRST_PAUSE_MS = 10;

/** What is done on a connection, and what that allows. */
interface Work {
  /** Sends the command. */
  readonly run: (
    target: ReadTarget,
    bound: BoundConnection,
  ) => Promise<Attempt>;
  /** Whether a replica may serve it. */
  readonly allowsReplica: boolean;
  /** Whether it may be sent again although it may have run. */
  readonly isRepeatable: boolean;
  /** Whether the connection stays with the caller after a success. */
  readonly keepsConnection: boolean;
}

/** How far a statement has come. */
interface Progress {
  readonly group: DatabaseGroup;
  readonly request: ExecutionRequest;
  readonly work: Work;
  /** Instances that are not asked again. */
  readonly tried: Set<string>;
  pauseMs: number;
  failedRuns: number;
  /** An instance that has refused to be the primary. */
  unsuitable: string | undefined;
}

/** A success, or the error of an attempt that failed. */
type Result =
  | {readonly reply: InstanceReply; readonly bound: BoundConnection}
  | {readonly error: SapphiregladeError; readonly mayBeKept: boolean};

/** Finds an instance for a statement and runs it there, on a connection of this proxy. */
export class StatementExecutor extends StatementRunner {
  constructor(private readonly context: ExecutionContext) {
    super();
  }

  override async run(request: ExecutionRequest): Promise<InstanceReply> {
    const {statement, deadlineMs} = request;
    const {reply} = await this.work(request, {
      run: ({atLeast}, {connection}) =>
        attempt(
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
  ): Promise<PlacedTransaction> {
    const {bound} = await this.work(request, {
      run: ({atLeast}, {connection}) =>
        attempt(
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

  private async work(
    request: ExecutionRequest,
    work: Work,
  ): Promise<{reply: InstanceReply; bound: BoundConnection}> {
    const progress: Progress = {
      group: this.context.groups.ensure(request.route.group),
      request,
      work,
      tried: new Set(),
      pauseMs: FIRST_PAUSE_MS,
      failedRuns: 0,
      unsuitable: undefined,
    };
    for (let count = 1; ; count += 1) {
      const target = await this.nextTarget(progress);
      const result = await this.tryTarget(progress, target);
      if ('reply' in result) return result;
      this.logFailure(progress, target, result.error);
      const limitMs =
        result.error.kind === ErrorKind.NoConnection && !work.allowsReplica
          ? request.queueDeadlineMs
          : request.deadlineMs;
      const isLast =
        count >= MAXIMUM_ATTEMPTS || steadyNow() + progress.pauseMs >= limitMs;
      const mayGoOn = !result.mayBeKept && !isLast;
      if (!mayGoOn) throw result.error;
      await this.prepareNext(progress, target, result.error);
    }
  }

  /** Takes a connection to the target and does the work on it. */
  private async tryTarget(
    progress: Progress,
    target: ReadTarget,
  ): Promise<Result> {
    const {request, work, group} = progress;
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
    const failure = await synchronize(
      bound.connection,
      request.values,
      request.statement.prepared,
      request.deadlineMs,
    );
    if (failure !== undefined) return this.broken(bound, failure, false);
    if (target.isPrimary && !isStillPrimary(group, target)) {
      pool.release(bound.connection);
      return {error: replacedError(group), mayBeKept: false};
    }
    const outcome = await work.run(target, bound);
    if (outcome.kind !== 'answered') {
      return this.broken(bound, outcome, !work.isRepeatable);
    }
    const {reply} = outcome;
    const isKept = work.keepsConnection && reply.refusal === undefined;
    if (!isKept) pool.release(bound.connection);
    if (reply.refusal === undefined) {
      this.noteRead(progress, target, reply);
      return {reply, bound};
    }
    return {error: refused(reply), mayBeKept: false};
  }

  /** Closes a connection that did not answer. */
  private broken(
    {pool, connection}: BoundConnection,
    outcome: BrokenAttempt,
    hasEffect: boolean,
  ): Result {
    pool.lastFailedAtMs = steadyNow();
    pool.discard(connection, outcome.kind);
    const wasSent = outcome.kind === 'timed-out' || outcome.wasSent;
    const mayBeKept = hasEffect && wasSent;
    return {error: brokenOff(outcome, mayBeKept), mayBeKept};
  }

  /** Waits and remembers what the next attempt needs to know. */
  private async prepareNext(
    progress: Progress,
    target: ReadTarget,
    error: SapphiregladeError,
  ): Promise<void> {
    const {work} = progress;
    const id = target.member.instance.id;
    if (error.kind === ErrorKind.NoFreshReplica) {
      target.member.pool.lastBehindAtMs = steadyNow();
    }
    const isRunFailure =
      error.kind === ErrorKind.RunFailed ||
      error.kind === ErrorKind.RunTimedOut;
    if (isRunFailure) progress.failedRuns += 1;
    const step = decideNextStep({
      kind: error.kind,
      isRepeatable: work.isRepeatable,
      allowsReplica: work.allowsReplica,
      wasOnPrimary: target.isPrimary,
      failedRuns: progress.failedRuns,
    });
    if (step === NextStep.Fail) throw error;
    if (step === NextStep.OtherInstance) progress.tried.add(id);
    if (step === NextStep.AwaitPrimary) progress.unsuitable = id;
    if (step === NextStep.SameAfterPause) {
      await sleep(progress.pauseMs * (0.5 + Math.random()));
      progress.pauseMs *= 2;
    }
  }

  /** Chooses the instance that is asked next. */
  private async nextTarget(progress: Progress): Promise<ReadTarget> {
    const {group, request, work, tried, unsuitable} = progress;
    if (work.allowsReplica) {
      const next = this.nextReadTarget(progress);
      if (next !== undefined) return next;
      if (isFreshnessUnknown(group, request)) {
        await this.context.surveys.refresh(group);
        const found = this.nextReadTarget(progress);
        if (found !== undefined) return found;
      }
      // All have been asked; a second round may find one that has caught up.
      tried.clear();
    }
    const member = await awaitPrimary(group, request.deadlineMs, unsuitable);
    const atLeast = work.allowsReplica
      ? group.floorWith(request.ownCommit)
      : undefined;
    return {member, isPrimary: true, atLeast, basis: undefined};
  }

  /** The best instance for a read that was not asked yet. */
  private nextReadTarget({
    group,
    request,
    tried,
  }: Progress): ReadTarget | undefined {
    return selectReadTargets(
      this.context,
      group,
      request.route,
      request.startedAtMs,
      request.ownCommit,
    ).find(({member}) => !tried.has(member.instance.id));
  }

  /** A replica whose log ends in a term before the recorded one has not caught up. */
  private noteRead(
    {group, request}: Progress,
    {member, isPrimary, basis, atLeast}: ReadTarget,
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
      sourceAgeMs: Math.round(steadyNow() - basis.sentAtMs),
      readAgeMs: Math.round(steadyNow() - request.startedAtMs),
    });
  }

  private logFailure(
    {request}: Progress,
    target: ReadTarget,
    error: SapphiregladeError,
  ): void {
    this.context.metrics.increment('sapphireglade_retries_total', {
      kind: error.kind,
    });
    this.context.log.info('An instance did not serve a statement.', {
      request: request.statement.requestId,
      instance: target.member.instance.id,
      isPrimary: target.isPrimary,
      remainingMs: Math.round(request.deadlineMs - steadyNow()),
      kind: error.kind,
      reason: error.message,
    });
  }
}

/** Says whether a primary may still be used, just before it is. */
function isStillPrimary(group: DatabaseGroup, target: ReadTarget): boolean {
  const primary = group.usablePrimary();
  return (
    typeof primary === 'object' &&
    primary.instance.id === target.member.instance.id
  );
}

function replacedError(group: DatabaseGroup): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NotPrimary,
    `The primary of group ${group.name} was taken out of use.`,
    {retryAfterMs: FIRST_PAUSE_MS},
  );
}
