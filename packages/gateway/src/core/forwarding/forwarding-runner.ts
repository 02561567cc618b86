import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionRequest, UpstreamTransaction} from '../sessions/index.js';
import {StatementRunner} from '../sessions/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {ForwardedMessage} from './messages.js';
import {decodeResponse, encodeExecution, ForwardedKind} from './messages.js';
import type {OwnerLinks} from './owner-links.js';
import type {OwnerPeer, PeerResult} from './owner-peer.js';
import {RemoteTransaction} from './remote-transaction.js';
import {RETRYABLE_OWNER_ERRORS, needsPrimary} from './owner-routing.js';

/** Maximum number of owners to which one statement is sent. */
const MAXIMUM_OWNERS_TRIED = 4;

/** Delay after which a caller retries if no owner was reachable, in milliseconds. */
const RETRY_AFTER_MS = 100;

/** Time that a statement waits for new owners to take over, in milliseconds; a proxy takes about this long to restart. */
const HANDOVER_WAIT_MS = 600;

/** Delay between two attempts during a handover, in milliseconds. */
const HANDOVER_POLL_INTERVAL_MS = 40;

/** A request to forward, and the rules for sending it to owners. */
export interface ForwardedRequest {
  readonly request: ExecutionRequest;
  /** Encodes the request, just before it is sent. */
  readonly encode: () => ForwardedMessage;
  /** Whether it may be sent again even if it may have run. */
  readonly isRetryable: boolean;
  /** Whether only the primary can serve it. */
  readonly needsPrimary: boolean;
}

/** A reply, and the link on which it was received. */
export interface ForwardedResult {
  readonly reply: InstanceReply;
  readonly peer: OwnerPeer;
  readonly link: Extract<PeerResult, {kind: 'answered'}>['link'];
}

/** Runs statements on an owner of their group. */
export class ForwardingRunner extends StatementRunner {
  private lastTransactionId = 0;

  constructor(
    private readonly links: OwnerLinks,
    private readonly log: Logger,
  ) {
    super();
  }

  override async run(request: ExecutionRequest): Promise<InstanceReply> {
    const {reply} = await this.forward({
      request,
      encode: () => ({
        kind: ForwardedKind.Statement,
        execution: encodeExecution(request),
      }),
      isRetryable: request.statement.isRead,
      needsPrimary: needsPrimary(request, request.statement.isRead),
    });
    return reply;
  }

  /** Creates a transaction that begins at an owner together with its first statement. */
  override begin(
    request: ExecutionRequest,
    isReadOnly: boolean,
  ): Promise<UpstreamTransaction> {
    this.lastTransactionId += 1;
    const {startedAtMs} = request;
    const id = this.lastTransactionId;
    return Promise.resolve(
      new RemoteTransaction(this, {id, isReadOnly, startedAtMs}),
    );
  }

  /**
   * Sends a request to one owner after another until one has run it. Waits
   * briefly if no proxy owns the group yet, because another proxy is expected to
   * take it over.
   *
   * @throws SapphiregladeError whose outcome states whether it may have run.
   */
  async forward(forwarded: ForwardedRequest): Promise<ForwardedResult> {
    const limitMs = Math.min(
      forwarded.request.queueDeadlineMs,
      steadyNowMs() + HANDOVER_WAIT_MS,
    );
    for (;;) {
      const outcome = await this.tryOwners(forwarded);
      if (!(outcome instanceof SapphiregladeError)) return outcome;
      const isHandover =
        outcome.kind === ErrorKind.NoOwner &&
        outcome.outcome === Outcome.NotRun;
      if (!isHandover || steadyNowMs() + HANDOVER_POLL_INTERVAL_MS > limitMs) {
        throw outcome;
      }
      await sleep(HANDOVER_POLL_INTERVAL_MS * (0.5 + Math.random()));
    }
  }

  /** Sends a request to up to `MAXIMUM_OWNERS_TRIED` owners, once to each. */
  private async tryOwners(
    forwarded: ForwardedRequest,
  ): Promise<ForwardedResult | SapphiregladeError> {
    const {request, isRetryable} = forwarded;
    const {group} = request.route;
    const tried = new Set<string>();
    let lastError = noOwnerError(group);
    while (
      tried.size < MAXIMUM_OWNERS_TRIED &&
      steadyNowMs() < request.deadlineMs
    ) {
      const peer = this.links.selectOwner(group, tried, forwarded.needsPrimary);
      if (peer === undefined) break;
      tried.add(peer.name);
      const result = await peer.request(forwarded.encode, request.deadlineMs);
      const outcome = decodeResult(result, isRetryable);
      if (!(outcome instanceof SapphiregladeError)) {
        this.links.recordPrimaryZone(group, outcome.primaryZone);
        return {reply: outcome.reply, link: outcome.link, peer};
      }
      this.logFailure(forwarded, peer, outcome);
      lastError = outcome;
      if (
        !canTryAnotherOwner(outcome, result.kind === 'answered', isRetryable)
      ) {
        break;
      }
    }
    return lastError;
  }

  private logFailure(
    {request}: ForwardedRequest,
    peer: OwnerPeer,
    error: SapphiregladeError,
  ): void {
    this.log.info('An owner did not serve a statement.', {
      request: request.statement.requestId,
      group: request.route.group,
      owner: peer.name,
      remainingMs: Math.round(request.deadlineMs - steadyNowMs()),
      kind: error.kind,
      outcome: error.outcome,
      reason: error.message,
    });
  }
}

/** Returns whether a request that one owner did not serve may be sent to another one. */
function canTryAnotherOwner(
  error: SapphiregladeError,
  hasOwnerAnswered: boolean,
  isRetryable: boolean,
): boolean {
  if (error.outcome === Outcome.NotRun)
    return RETRYABLE_OWNER_ERRORS.has(error.kind);
  // An owner that answers has already tried the other instances.
  return isRetryable && !hasOwnerAnswered;
}

/** The decoded response of an owner. */
interface OwnerReply {
  readonly reply: InstanceReply;
  readonly link: ForwardedResult['link'];
  /** Availability zone of the group's primary, if the owner knows it. */
  readonly primaryZone: string | undefined;
}

/** Returns the reply, or the error to report to the caller. */
function decodeResult(
  result: PeerResult,
  isRetryable: boolean,
): OwnerReply | SapphiregladeError {
  if (result.kind === 'refused') return unsentError(result.error);
  if (result.kind === 'failed') return linkError(result, isRetryable);
  const response = decodeResponse(result.body);
  if (response instanceof SapphiregladeError) return response;
  if (response !== undefined) return {...response, link: result.link};
  return linkError(
    {wasSent: true, reason: 'The response of the owner could not be decoded.'},
    isRetryable,
  );
}

/** Creates the error for a request whose link failed or whose response was unusable. */
export function linkError(
  {wasSent, reason}: {wasSent: boolean; reason: string},
  isRetryable: boolean,
): SapphiregladeError {
  if (!wasSent) {
    return new SapphiregladeError(ErrorKind.NoOwner, reason, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  const kind = isRetryable ? ErrorKind.RunTimedOut : ErrorKind.OutcomeUnknown;
  return new SapphiregladeError(kind, reason);
}

/** Creates the error for a request that this proxy could not send; another owner may accept it. */
function unsentError(cause: SapphiregladeError): SapphiregladeError {
  return new SapphiregladeError(ErrorKind.Overloaded, cause.message, {
    retryAfterMs: RETRY_AFTER_MS,
    cause,
  });
}

function noOwnerError(group: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoOwner,
    `No proxy that holds connections to group ${group} can be reached.`,
    {retryAfterMs: RETRY_AFTER_MS},
  );
}
