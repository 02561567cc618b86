import {setTimeout as delay} from 'node:timers/promises';
import {
  decideRetry,
  ErrorKind,
  isRedirect,
  Outcome,
  RetryBudget,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {
  ExecutionResponse,
  ExecutionRequest,
} from '@sapphireglade/protocol';
import {executionResponseSchema} from '@sapphireglade/protocol';
import type {ProxyContext} from '../context/index.js';
import type {RequestExecutor} from '../failover/index.js';
import type {PeerLinks} from '../peers/index.js';
import {OwnerSelector} from './owner-selector.js';

/** Retry delay for callers if no owner can be reached, in milliseconds. */
const NO_OWNER_RETRY_AFTER_MS = 500;

/**
 * Failures of the link to an owner or of its process; no upstream was involved.
 */
const RETRYABLE_OWNER_ERRORS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.LinkClosed,
  ErrorKind.ShuttingDown,
]);

/**
 * Routes requests to an owner of the group, in this process or on another VM.
 */
export class StatementRouter {
  private readonly ownerSelector: OwnerSelector;
  private readonly retryBudget = new RetryBudget();

  /**
   * @param context - The shared state of this process.
   * @param executor - Runs requests in this process.
   * @param links - The links to other proxies.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly executor: RequestExecutor,
    private readonly links: PeerLinks,
  ) {
    this.ownerSelector = new OwnerSelector(context);
  }

  /**
   * Routes a request to an owner. The next owner is tried only if the request
   * has certainly not run, or if it may be repeated and the retry budget allows
   * it.
   *
   * @param request - The request.
   * @param deadlineMs - Time to the deadline of the request, in milliseconds.
   * @throws SapphiregladeError if no owner executed it.
   */
  async route(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    const endAtMs = performance.now() + deadlineMs;
    const owners = this.ownerSelector.listOwners(request.group);
    this.retryBudget.deposit();
    let answer = noOwnerResponse(request.group);
    let attempts = 0;
    for (const owner of owners) {
      const remainingMs = Math.max(1, endAtMs - performance.now());
      answer = await this.routeTo(owner, request, remainingMs);
      if (answer.error !== undefined && isRedirect(answer.error)) continue;
      attempts += 1;
      const isLast = owner === owners.at(-1);
      const retryDelayMs = isLast
        ? undefined
        : this.decideRetryDelayMs(request, answer, attempts, endAtMs);
      if (retryDelayMs === undefined) return answer;
      if (retryDelayMs > 0) await delay(retryDelayMs);
    }
    return answer;
  }

  /**
   * Sends a request to one owner.
   *
   * @param owner - Name of the owner's VM.
   * @returns The response; a failure of the link is reported in it.
   */
  async routeTo(
    owner: string,
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    if (owner === this.context.settings.vm) {
      const answer = await this.executor.execute(request, deadlineMs);
      this.ownerSelector.recordResult(owner, request.group, answer.error?.kind);
      return answer;
    }
    this.context.events.record('request-forwarded', {
      requestId: request.requestId,
      group: request.group,
      owner,
      reason: 'it holds connections to the group',
    });
    try {
      const body = await this.links.request(owner, request, deadlineMs);
      return this.learn(request, executionResponseSchema.parse(body));
    } catch (error) {
      return this.learn(request, toFailedResponse(owner, error));
    }
  }

  private learn(
    request: ExecutionRequest,
    answer: ExecutionResponse,
  ): ExecutionResponse {
    if (answer.view !== undefined)
      this.context.groupViews.applyIfNewer(answer.view);
    this.ownerSelector.recordResult(
      answer.owner,
      request.group,
      answer.error?.kind,
    );
    return answer;
  }

  /**
   * Returns the delay before the next owner is tried; `undefined` for no retry.
   */
  private decideRetryDelayMs(
    request: ExecutionRequest,
    {error}: ExecutionResponse,
    attempts: number,
    endAtMs: number,
  ): number | undefined {
    if (error === undefined) return undefined;
    const {group} = request;
    const {kind, outcome} = error;
    // The request reached no upstream, so the next owner is a forward, not a
    // retry.
    if (outcome === Outcome.NotRun && RETRYABLE_OWNER_ERRORS.has(kind))
      return 0;
    const remainingMs = endAtMs - performance.now();
    const isIdempotent =
      request.type === 'execute' &&
      (request.idempotent || request.access === 'read');
    const retryDelayMs = decideRetry(
      {
        outcome,
        kind,
        isIdempotent,
        attempts,
        remainingMs,
      },
      this.retryBudget,
      Math.random(),
    );
    if (retryDelayMs === undefined) return undefined;
    this.context.metrics.increment('sapphireglade_retries_total', {
      group,
      reason: kind,
    });
    return retryDelayMs;
  }
}

/** Returns the response for a group without owners. */
function noOwnerResponse(group: string): ExecutionResponse {
  return {
    owner: '',
    ownerBoot: '',
    error: {
      kind: ErrorKind.NoOwner,
      message: `No proxy holds connections to the group ${group}.`,
      outcome: Outcome.NotRun,
      retryAfterMs: NO_OWNER_RETRY_AFTER_MS,
    },
  };
}

/** Converts a failure of the link to a response. */
function toFailedResponse(owner: string, cause: unknown): ExecutionResponse {
  const error =
    cause instanceof SapphiregladeError
      ? cause
      : new SapphiregladeError(ErrorKind.OutcomeUnknown, String(cause));
  const kind =
    error.outcome === Outcome.NotRun ? error.kind : ErrorKind.OutcomeUnknown;
  return {
    owner,
    ownerBoot: '',
    error: {
      kind,
      message: error.message,
      outcome: error.outcome,
      retryAfterMs: error.retryAfterMs ?? NO_OWNER_RETRY_AFTER_MS,
    },
  };
}
