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

/** When a caller should come back if no owner can be reached. */
const NO_OWNER_RETRY_AFTER_MS = 500;

/** Failures of the way to an owner; no upstream was involved. */
const RETRYABLE_OWNER_ERRORS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.LinkClosed,
  ErrorKind.ShuttingDown,
]);

/** Brings requests to an owner of the group, here or on another VM. */
export class StatementRouter {
  private readonly ownerSelector: OwnerSelector;
  private readonly retryBudget = new RetryBudget();

  /**
   * @param context - What every task may use.
   * @param executor - Runs requests here.
   * @param links - Reaches the other proxies.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly executor: RequestExecutor,
    private readonly links: PeerLinks,
  ) {
    this.ownerSelector = new OwnerSelector(context);
  }

  /**
   * Brings a request to an owner. It goes to the next owner only while it has
   * certainly not run.
   *
   * @param request - The request.
   * @param deadlineMs - How long its answer is of use, in milliseconds.
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
    let tries = 0;
    for (const owner of owners) {
      const remainingMs = Math.max(1, endAtMs - performance.now());
      answer = await this.routeTo(owner, request, remainingMs);
      if (answer.error !== undefined && isRedirect(answer.error)) continue;
      tries += 1;
      const isLast = owner === owners.at(-1);
      const pauseMs = isLast
        ? undefined
        : this.decideRetryDelayMs(request, answer, tries, endAtMs);
      if (pauseMs === undefined) return answer;
      if (pauseMs > 0) await delay(pauseMs);
    }
    return answer;
  }

  /**
   * Brings a request to one owner.
   *
   * @param owner - Name of the owner's VM.
   * @returns The answer; a failure of the link is part of it.
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

  /** Decides whether the next owner is asked; gives the pause before it. */
  private decideRetryDelayMs(
    request: ExecutionRequest,
    {error}: ExecutionResponse,
    tries: number,
    endAtMs: number,
  ): number | undefined {
    if (error === undefined) return undefined;
    const {group} = request;
    const {kind, outcome} = error;
    // What reached no upstream is not tried again, only passed on.
    if (outcome === Outcome.NotRun && RETRYABLE_OWNER_ERRORS.has(kind))
      return 0;
    const leftMs = endAtMs - performance.now();
    const isRepeatable =
      request.type === 'execute' &&
      (request.idempotent || request.access === 'read');
    const pauseMs = decideRetry(
      {
        outcome,
        kind,
        isIdempotent: isRepeatable,
        attempts: tries,
        remainingMs: leftMs,
      },
      this.retryBudget,
      Math.random(),
    );
    if (pauseMs === undefined) return undefined;
    this.context.metrics.increment('sapphireglade_retries_total', {
      group,
      reason: kind,
    });
    return pauseMs;
  }
}

/** The answer where a group has no owner at all. */
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

/** Turns a failure of the link into an answer. */
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
