import {setTimeout as delay} from 'node:timers/promises';
import type {
  GroupResource,
  ReadDecision,
  RefuseReadDecision,
  RetryBudget,
  RunReadDecision,
} from '@sapphireglade/decisions';
import {
  clampPosition,
  decideRetry,
  ErrorKind,
  computeHedgeDelayMs,
  Outcome,
  routeRead,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {
  ExecuteRequest,
  ExecutionResult,
  StatementResponse,
  StatementRequest,
} from '@sapphireglade/protocol';
import {RefusalReason} from '@sapphireglade/protocol';
import {ExecutionRecorder} from '../instrumentation/index.js';
import {UpstreamRefusedError} from '../upstream/index.js';
import type {GroupFreshnessTracker} from '../pool/index.js';
import {raceWithHedge} from './hedged-request.js';
import type {UpstreamOperation} from './instance-admission.js';
import type {ReadCandidateSources} from './read-candidates.js';
import {listReadCandidates} from './read-candidates.js';
import type {RemoteObservations} from './remote-observations.js';

/** Maximum number of times a read is rerouted after an instance refused it. */
const MAXIMUM_REROUTES = 3;

/**
 * Timeout of one attempt, in milliseconds; the read then goes to another
 * instance.
 */
const ATTEMPT_TIMEOUT_MS = 1_000;

/** Minimum retry delay that a refusal names, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Refusal reasons after which another instance may serve the read. */
const REROUTED_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.BehindPosition,
  RefusalReason.NotPrimary,
  RefusalReason.StaleTerm,
  RefusalReason.Stopping,
  RefusalReason.TooManyConnections,
]);

/** Error kind for each reason for which the router refuses a read. */
const ERROR_KIND_BY_REASON: Readonly<
  Record<RefuseReadDecision['reason'], ErrorKind>
> = {
  'no-fresh-replica': ErrorKind.NoFreshReplica,
  'no-connection': ErrorKind.NoConnection,
  deadline: ErrorKind.DeadlineUnreachable,
};

/** State of one read across all its attempts. */
interface ReadInProgress {
  readonly request: ExecuteRequest;
  readonly group: GroupResource;
  readonly work: UpstreamOperation;
  readonly startedAtMs: number;
  readonly recorder: ExecutionRecorder;
  /** Instances on which this read failed. */
  readonly excludedInstances: Set<string>;
  attempts: number;
  reroutes: number;
  lastError: unknown;
}

/** Runs each read on the instance that the router selects. */
export class ReadExecutor {
  /**
   * @param sources - The instances of this process.
   * @param freshness - Cached freshness of the instances.
   * @param retryBudget - Limits retries and hedged requests.
   * @param remoteObservations - Observations fetched from other owners.
   */
  constructor(
    private readonly sources: ReadCandidateSources,
    private readonly freshness: GroupFreshnessTracker,
    private readonly retryBudget: RetryBudget,
    private readonly remoteObservations: RemoteObservations,
  ) {}

  /**
   * Runs a read, with retries and hedging within its deadline.
   *
   * @throws SapphiregladeError if no instance serves the read in time.
   */
  async run(
    request: ExecuteRequest,
    group: GroupResource,
    work: UpstreamOperation,
  ): Promise<ExecutionResult> {
    this.retryBudget.deposit();
    const read: ReadInProgress = {
      request,
      group,
      work,
      startedAtMs: performance.now(),
      recorder: new ExecutionRecorder(this.sources.context, request),
      excludedInstances: new Set(),
      attempts: 0,
      reroutes: 0,
      lastError: undefined,
    };
    for (;;) {
      const result = await this.advance(read);
      if (result !== undefined) return result;
    }
  }

  /** Routes the read once; returns `undefined` if it must be routed again. */
  private async advance(
    read: ReadInProgress,
  ): Promise<ExecutionResult | undefined> {
    await this.remoteObservations.refresh(read.group);
    const decision = this.decideRoute(read);
    if (decision.action === 'refuse') throw this.refusal(read, decision);
    if (decision.action === 'wait') {
      await delay(decision.waitMs);
      return undefined;
    }
    try {
      return await this.runHedged(read, decision);
    } catch (error) {
      await this.prepareRetry(read, decision.instance, error);
      return undefined;
    }
  }

  private decideRoute(read: ReadInProgress): ReadDecision {
    const {request, group, work} = read;
    const freshness = this.freshness.get(group.name);
    if (freshness === undefined) throw noPrimaryError(group.name);
    const {context} = this.sources;
    const view = context.groupViews.get(group.name);
    const minimumPosition =
      view === undefined
        ? request.minimumPosition
        : clampPosition(request.minimumPosition, view);
    const nowMs = performance.now();
    return routeRead(
      freshness,
      listReadCandidates(this.sources, group, work, read.excludedInstances),
      {
        minimumPosition,
        allowedAgeMs: request.allowedAgeMs,
        deadlineAtMs: work.deadlineAtMs,
        waitedMs: nowMs - read.startedAtMs,
      },
      nowMs,
      Math.random(),
    );
  }

  /** Runs a read, and hedges it on a second instance if the first is slow. */
  private runHedged(
    read: ReadInProgress,
    decision: RunReadDecision,
  ): Promise<ExecutionResult> {
    const first = this.runOnce(read, decision);
    const {group, work} = read;
    const admission = this.sources.findAdmission(group.name, decision.instance);
    if (admission === undefined) return first;
    const delayMs = computeHedgeDelayMs(
      admission.durationMs,
      remainingMs(read),
    );
    if (delayMs === undefined) return first;
    const {metrics} = this.sources.context;
    return raceWithHedge(first, {
      delayMs: delayMs + admission.estimateWaitMs(work),
      startSecond: () => this.startHedge(read, decision),
      onLateResult: () =>
        metrics.increment('sapphireglade_late_answers_total', {}),
    });
  }

  /** Sends the read to a second instance, if the retry budget allows it. */
  private startHedge(
    read: ReadInProgress,
    {instance}: RunReadDecision,
  ): Promise<ExecutionResult> | undefined {
    const excluded = new Set([...read.excludedInstances, instance]);
    const second = this.decideRoute({...read, excludedInstances: excluded});
    if (second.action !== 'run' || !this.retryBudget.tryWithdraw())
      return undefined;
    const {context} = this.sources;
    const group = read.group.name;
    context.metrics.increment('sapphireglade_hedges_total', {group});
    const recorder = new ExecutionRecorder(context, read.request);
    return this.runOnce(
      {...read, excludedInstances: excluded, recorder},
      second,
    );
  }

  private async runOnce(
    read: ReadInProgress,
    decision: RunReadDecision,
  ): Promise<ExecutionResult> {
    const {group, recorder} = read;
    const {instance, role} = decision;
    const admission = this.sources.findAdmission(group.name, instance);
    if (admission === undefined) throw noPrimaryError(group.name);
    read.attempts += 1;
    recorder.routed(instance, role, routingReason(decision));
    const answer = await admission.run(read.work, connection => {
      recorder.admitted(instance);
      return connection.statement(
        toStatementRequest(read, decision, this.currentTerm(group)),
        Math.min(ATTEMPT_TIMEOUT_MS, remainingMs(read)),
      );
    });
    recorder.ran(instance, answer.position);
    await this.assertPrimaryNotReplaced(read, decision);
    return toExecutionResult(answer, decision);
  }

  /** Checks that the primary had not been replaced before it answered. */
  private async assertPrimaryNotReplaced(
    read: ReadInProgress,
    {leaderSinceMs}: RunReadDecision,
  ): Promise<void> {
    if (leaderSinceMs === undefined) return;
    const {group} = read;
    const isLeader = await this.freshness.waitForLeaderConfirmation(
      group,
      leaderSinceMs,
      remainingMs(read),
    );
    if (isLeader) return;
    throw new SapphiregladeError(
      ErrorKind.NoFreshReplica,
      `A majority of ${group.name} did not confirm its primary in time.`,
      {retryAfterMs: addJitter(MINIMUM_RETRY_AFTER_MS)},
    );
  }

  /** Prepares the next attempt after a failure; throws if there is none. */
  private async prepareRetry(
    read: ReadInProgress,
    instance: string,
    error: unknown,
  ): Promise<void> {
    if (!(error instanceof SapphiregladeError)) throw error;
    read.lastError = error;
    read.excludedInstances.add(instance);
    if (read.reroutes < MAXIMUM_REROUTES && canTryAnotherInstance(error)) {
      read.reroutes += 1;
      return;
    }
    const retryDelayMs = decideRetry(
      {
        outcome: error.outcome,
        kind: error.kind,
        isIdempotent: true,
        attempts: read.attempts,
        remainingMs: remainingMs(read),
      },
      this.retryBudget,
      Math.random(),
    );
    if (retryDelayMs === undefined) throw error;
    this.sources.context.metrics.increment('sapphireglade_retries_total', {
      group: read.group.name,
      reason: error.kind,
    });
    await delay(retryDelayMs);
  }

  private refusal(read: ReadInProgress, decision: RefuseReadDecision): unknown {
    if (read.lastError !== undefined) return read.lastError;
    const {name} = read.group;
    return new SapphiregladeError(
      ERROR_KIND_BY_REASON[decision.reason],
      `No instance of ${name} could serve the read in time.`,
      {
        outcome: Outcome.NotRun,
        retryAfterMs: addJitter(
          Math.max(MINIMUM_RETRY_AFTER_MS, decision.expectedInMs),
        ),
      },
    );
  }

  private currentTerm(group: GroupResource): number | undefined {
    return this.freshness.get(group.name)?.term;
  }
}

/** Returns whether another instance may serve a read that this one refused. */
function canTryAnotherInstance(error: SapphiregladeError): boolean {
  if (error instanceof UpstreamRefusedError) {
    return REROUTED_REFUSALS.has(error.refusal.reason);
  }
  return (
    error.kind === ErrorKind.Overloaded || error.kind === ErrorKind.NoConnection
  );
}

function toStatementRequest(
  {request}: ReadInProgress,
  {role, minimumPosition}: RunReadDecision,
  term: number | undefined,
): StatementRequest {
  return {
    sql: request.sql,
    parameters: request.parameters,
    access: 'read',
    term: role === 'primary' ? term : undefined,
    minimumPosition,
  };
}

function routingReason({role}: RunReadDecision): string {
  return role === 'replica'
    ? 'its data is fresh enough and it is expected to answer first'
    : 'no replica is expected to answer with fresh data sooner';
}

function toExecutionResult(
  answer: StatementResponse,
  {instance, role}: RunReadDecision,
): ExecutionResult {
  const {rows, rowCount, position} = answer;
  return {rows, rowCount, instance, role, position};
}

function remainingMs({work}: ReadInProgress): number {
  return Math.max(1, work.deadlineAtMs - performance.now());
}

/** Adds up to 50% to a retry delay, so that callers do not retry in step. */
function addJitter(timeMs: number): number {
  return Math.ceil(timeMs * (1 + Math.random() / 2));
}

function noPrimaryError(group: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoPrimary,
    `The group ${group} has no known primary.`,
    {retryAfterMs: addJitter(MINIMUM_RETRY_AFTER_MS)},
  );
}
