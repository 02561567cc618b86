import type {Outcome} from '@sapphireglade/decisions';
import {
  ErrorKind,
  Outcome as Outcomes,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {
  ExecutionResponse,
  ExecutionRequest,
} from '@sapphireglade/protocol';
import type {ProxyContext} from '../context/index.js';
import {FailoverGapTracker} from '../metrics/index.js';
import type {RequestRouter} from './request-router.js';

/** Result of a request, for events and metrics. */
interface RequestResult {
  readonly outcome: Outcome;
  readonly error: ErrorKind | null;
  readonly answer?: ExecutionResponse;
}

/** Records events and metrics of the requests of callers to this proxy. */
export class InstrumentedRouter implements RequestRouter {
  private readonly failoverGaps: FailoverGapTracker;

  /**
   * @param context - Context shared by all tasks.
   * @param router - Router that processes the requests.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly router: RequestRouter,
  ) {
    this.failoverGaps = new FailoverGapTracker(context.metrics);
  }

  route(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    return this.recordRequest(request, deadlineMs, () =>
      this.router.route(request, deadlineMs),
    );
  }

  routeTo(
    owner: string,
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    return this.recordRequest(request, deadlineMs, () =>
      this.router.routeTo(owner, request, deadlineMs),
    );
  }

  private async recordRequest(
    request: ExecutionRequest,
    deadlineMs: number,
    run: () => Promise<ExecutionResponse>,
  ): Promise<ExecutionResponse> {
    const startMs = performance.now();
    const {requestId, group, caller} = request;
    this.context.events.record('request-received', {
      requestId,
      group,
      caller,
      access: accessLabel(request),
      deadlineMs,
    });
    try {
      const answer = await run();
      this.finish(request, startMs, toRequestResult(answer));
      return answer;
    } catch (error) {
      this.finish(request, startMs, toFailedRequestResult(error));
      throw error;
    }
  }

  private finish(
    request: ExecutionRequest,
    startMs: number,
    requestResult: RequestResult,
  ): void {
    const {events} = this.context;
    const {requestId, group} = request;
    const durationMs = performance.now() - startMs;
    const {outcome, error} = requestResult;
    events.record('request-answered', {
      requestId,
      group,
      outcome,
      error,
      durationMs,
    });
    this.count(request, durationMs, requestResult);
  }

  private count(
    request: ExecutionRequest,
    durationMs: number,
    {outcome, error, answer}: RequestResult,
  ): void {
    const {metrics, settings} = this.context;
    const {group} = request;
    const access = accessLabel(request);
    metrics.increment('sapphireglade_requests_total', {group, access, outcome});
    metrics.recordDuration(
      'sapphireglade_request_duration_seconds',
      durationMs,
      {group, access},
    );
    if (error !== null) {
      metrics.increment('sapphireglade_errors_total', {group, kind: error});
    }
    if (answer !== undefined && answer.owner !== settings.vm) {
      metrics.increment('sapphireglade_forwards_total', {group});
    }
    this.countResult(request, answer);
  }

  /** Counts reads by role and measures gaps between acknowledged writes. */
  private countResult(
    request: ExecutionRequest,
    answer: ExecutionResponse | undefined,
  ): void {
    const result = answer?.result;
    if (result === undefined || request.type !== 'execute') return;
    const {group} = request;
    if (request.access === 'read') {
      const {role} = result;
      this.context.metrics.increment('sapphireglade_reads_total', {
        group,
        role,
      });
      return;
    }
    this.failoverGaps.recordAcknowledgedWrite(
      group,
      result.position.term,
      performance.now(),
    );
  }
}

function toRequestResult(answer: ExecutionResponse): RequestResult {
  const {error} = answer;
  if (error === undefined) {
    return {outcome: Outcomes.Done, error: null, answer};
  }
  return {outcome: error.outcome, error: error.kind, answer};
}

function toFailedRequestResult(error: unknown): RequestResult {
  if (error instanceof SapphiregladeError) {
    return {outcome: error.outcome, error: error.kind};
  }
  return {outcome: Outcomes.Unknown, error: ErrorKind.Internal};
}

/** Returns the access of a request as a value for events and labels. */
function accessLabel(request: ExecutionRequest): string {
  if (request.type !== 'finish-transaction') return request.access;
  return request.commit ? 'commit' : 'rollback';
}
