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

/** Most owners that one statement is sent to. */
const MAXIMUM_OWNERS_TRIED = 4;

/** When a caller comes back if no owner could be asked, in milliseconds. */
const RETRY_AFTER_MS = 100;

/** How long a statement waits for owners that are just taking over, in milliseconds; a restarted proxy takes about as long. */
const HANDOVER_WAIT_MS = 600;

/** Pause between two rounds of such a wait, in milliseconds. */
const HANDOVER_POLL_INTERVAL_MS = 40;

/** A request of which it is known whether another owner may get it as well. */
export interface ForwardedRequest {
  readonly request: ExecutionRequest;
  /** Makes what crosses the link, just before it is sent. */
  readonly encode: () => ForwardedMessage;
  /** Whether it may be sent again although it may have run. */
  readonly isRepeatable: boolean;
  /** Whether only the primary can serve it. */
  readonly needsPrimary: boolean;
}

/** An answer, and over which link it came. */
export interface ForwardedResult {
  readonly reply: InstanceReply;
  readonly peer: OwnerPeer;
  readonly link: Extract<PeerResult, {kind: 'answered'}>['link'];
}

/** Runs statements at an owner of their group. */
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
      isRepeatable: request.statement.isRead,
      needsPrimary: needsPrimary(request, request.statement.isRead),
    });
    return reply;
  }

  /** The transaction begins at an owner together with its first statement. */
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
   * Sends a request to one owner after another, until one has run it. Waits for
   * a moment if nobody owns the group yet, because somebody soon will.
   *
   * @throws SapphiregladeError whose outcome says whether it may have run.
   */
  async forward(work: ForwardedRequest): Promise<ForwardedResult> {
    const limitMs = Math.min(
      work.request.queueDeadlineMs,
      steadyNowMs() + HANDOVER_WAIT_MS,
    );
    for (;;) {
      const outcome = await this.tryOwners(work);
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

  /** Sends a request to each of a few owners once. */
  private async tryOwners(
    work: ForwardedRequest,
  ): Promise<ForwardedResult | SapphiregladeError> {
    const {request, isRepeatable} = work;
    const {group} = request.route;
    const tried = new Set<string>();
    let last = noOwnerError(group);
    while (
      tried.size < MAXIMUM_OWNERS_TRIED &&
      steadyNowMs() < request.deadlineMs
    ) {
      const peer = this.links.selectOwner(group, tried, work.needsPrimary);
      if (peer === undefined) break;
      tried.add(peer.name);
      const result = await peer.request(work.encode, request.deadlineMs);
      const outcome = decodeResult(result, isRepeatable);
      if (!(outcome instanceof SapphiregladeError)) {
        this.links.recordPrimaryZone(group, outcome.primaryZone);
        return {reply: outcome.reply, link: outcome.link, peer};
      }
      this.logFailure(work, peer, outcome);
      last = outcome;
      if (
        !canTryAnotherOwner(outcome, result.kind === 'answered', isRepeatable)
      ) {
        break;
      }
    }
    return last;
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

/** Whether another owner may get a request that one owner did not serve. */
function canTryAnotherOwner(
  error: SapphiregladeError,
  isOwnersWord: boolean,
  isRepeatable: boolean,
): boolean {
  if (error.outcome === Outcome.NotRun)
    return RETRYABLE_OWNER_ERRORS.has(error.kind);
  // An owner that answers has tried other instances itself.
  return isRepeatable && !isOwnersWord;
}

/** What an owner answered, decoded. */
interface OwnerReply {
  readonly reply: InstanceReply;
  readonly link: ForwardedResult['link'];
  /** Availability zone of the group's primary, as the owner knows it. */
  readonly primaryZone: string | undefined;
}

/** The answer, or the error that the caller may be told. */
function decodeResult(
  result: PeerResult,
  isRepeatable: boolean,
): OwnerReply | SapphiregladeError {
  if (result.kind === 'failed') return linkError(result, isRepeatable);
  const answer = decodeResponse(result.body);
  if (answer instanceof SapphiregladeError) return answer;
  if (answer !== undefined) return {...answer, link: result.link};
  return linkError(
    {wasSent: true, reason: 'The answer of the owner cannot be read.'},
    isRepeatable,
  );
}

/** What a lost link means for a request. */
export function linkError(
  {wasSent, reason}: {wasSent: boolean; reason: string},
  isRepeatable: boolean,
): SapphiregladeError {
  if (!wasSent) {
    return new SapphiregladeError(ErrorKind.NoOwner, reason, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  const kind = isRepeatable ? ErrorKind.RunTimedOut : ErrorKind.OutcomeUnknown;
  return new SapphiregladeError(kind, reason);
}

function noOwnerError(group: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoOwner,
    `No proxy that holds connections to group ${group} can be reached.`,
    {retryAfterMs: RETRY_AFTER_MS},
  );
}
