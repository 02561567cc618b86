import type {InstanceListView} from '@sapphireglade/decisions';
import {
  ErrorKind,
  RequestAgeEstimator,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {Link, LinkHandlers} from '@sapphireglade/protocol';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {ExecutionRequest, StatementRunner} from '../sessions/index.js';
import {limitDeadlines, SessionTransaction} from '../sessions/index.js';
import type {
  RelayResponse,
  StoreRelayServer,
  RelayRequest,
} from '../store-relay/index.js';
import {relayRequestSchema} from '../store-relay/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {readClocks} from '../time/index.js';
import {instanceListRequestSchema} from './instance-list-view.js';
import type {
  ForwardedMessage,
  ForwardedResponse,
  ForwardedExecution,
} from './messages.js';
import {
  assertReplyFits,
  decodeExecution,
  encodeError,
  encodeReply,
  ForwardedKind,
  forwardedSchema,
  maySpanSegments,
} from './messages.js';

/** Added to the idle timeout of a transaction at its owner, in milliseconds, so that the timeout of the entry proxy expires first. */
const IDLE_MARGIN_MS = 1_000;

/** Age from which an expired request shows that its link was paused, in milliseconds; longer than a request travels between regions. */
const PAUSED_LINK_AGE_MS = 100;

/** Delay before a link with an expired request is closed, in milliseconds, so that the response is still sent. */
const LATE_LINK_CLOSE_DELAY_MS = 100;

/** Dependencies of the request server. */
export interface ForwardedRequestServerOptions {
  /** Runs statements on connections of this proxy. */
  readonly runner: StatementRunner;
  readonly isOwned: (group: string) => boolean;
  /** Returns the availability zone of a group's primary, if it is known. */
  readonly primaryZoneOf: (group: string) => string | undefined;
  readonly configuration: LatestConfiguration;
  /** Answers requests of other proxies for the state of the store. */
  readonly relayServer: StoreRelayServer;
  /** Returns what this proxy knows of the instances of a group. */
  readonly instanceListOf: (group: string) => InstanceListView;
  /**
   * Returns the time by which a stopping process answers every statement, in
   * milliseconds of the steady clock; Infinity while it is not stopping.
   */
  readonly answersByMs: () => number;
  readonly log: Logger;
}

/** A transaction of a caller of another proxy. */
interface ForwardedTransaction {
  readonly transaction: SessionTransaction;
  isBusy: boolean;
  idleTimer: NodeJS.Timeout | undefined;
}

/** State of one accepted link. */
interface ServedLinkState {
  readonly transactions: Map<number, ForwardedTransaction>;
  readonly requestAge: RequestAgeEstimator;
  /** Whether a request arrived after its deadline because the link was paused; the requests queued behind it have expired as well. */
  hasExpiredRequest: boolean;
}

type TransactionMessage = Extract<
  ForwardedMessage,
  {kind: typeof ForwardedKind.InTransaction}
>;

/** Serves the requests that entry proxies forward to this proxy as an owner. */
export class ForwardedRequestServer implements LinkHandlers {
  private readonly linkStates = new Map<Link, ServedLinkState>();
  private isDraining = false;
  private isEndingTransactions = false;
  private running = 0;

  constructor(private readonly options: ForwardedRequestServerOptions) {}

  /** Number of running statements and open transactions. */
  get activeCount(): number {
    let count = this.running;
    for (const {transactions} of this.linkStates.values()) {
      count += transactions.size;
    }
    return count;
  }

  /** Rejects new statements and transactions; open transactions may continue. */
  drain(): void {
    this.isDraining = true;
  }

  /**
   * Rolls back the open transactions, each as soon as none of its statements is
   * running.
   */
  endOpenTransactions(): void {
    this.isEndingTransactions = true;
    for (const {transactions} of this.linkStates.values()) {
      for (const [id, forwarded] of transactions) {
        if (!forwarded.isBusy) endTransaction(transactions, id);
      }
    }
  }

  async onRequest(
    body: unknown,
    _peer: unknown,
    _deadlineMs: number,
    link: Link,
  ): Promise<ForwardedResponse | RelayResponse | InstanceListView> {
    const listRequest = instanceListRequestSchema.safeParse(body);
    if (listRequest.success)
      return this.options.instanceListOf(listRequest.data.group);
    const relayRequest = relayRequestSchema.safeParse(body);
    if (relayRequest.success)
      return this.answerRelayRequest(relayRequest.data, link);
    const parsed = forwardedSchema.safeParse(body);
    if (!parsed.success) {
      this.options.log.warn('Another proxy sent a malformed request.', {
        peer: link.peer?.process,
        problem: parsed.error.issues[0]?.message,
      });
      return encodeError(
        new SapphiregladeError(
          ErrorKind.InvalidInput,
          'The forwarded request is malformed.',
        ),
      );
    }
    this.running += 1;
    try {
      const request = parsed.data;
      const reply = await this.dispatch(request, link);
      const primaryZone =
        request.kind === ForwardedKind.RollBack
          ? undefined
          : this.options.primaryZoneOf(request.execution.group);
      return encodeReply(reply, primaryZone);
    } catch (error) {
      // Any other error is a program fault, which encodeError reports as internal.
      if (!(error instanceof SapphiregladeError)) {
        this.options.log.error(
          'A forwarded request failed with an unexpected error.',
          {
            error: String(error),
          },
        );
      }
      return encodeError(error);
    } finally {
      this.running -= 1;
    }
  }

  private answerRelayRequest(
    request: RelayRequest,
    link: Link,
  ): ForwardedResponse | RelayResponse {
    // Samples the request age now, because the first statement may arrive long after the link was opened.
    const {sentAt} = request;
    if (sentAt)
      this.linkStateOf(link).requestAge.observeMessage(sentAt, readClocks());
    try {
      return this.options.relayServer.answer(request);
    } catch (error) {
      return encodeError(error);
    }
  }

  onNotification(): void {
    this.options.log.debug('Ignored an unexpected notification.');
  }

  private dispatch(
    request: ForwardedMessage,
    link: Link,
  ): Promise<InstanceReply> {
    switch (request.kind) {
      case ForwardedKind.Statement:
        return this.serveStatement(request.execution, link);
      case ForwardedKind.RollBack:
        endTransaction(
          this.linkStateOf(link).transactions,
          request.transaction,
        );
        return Promise.resolve(EMPTY_REPLY);
      case ForwardedKind.InTransaction:
        return this.serveTransaction(request, link);
    }
  }

  private async serveStatement(
    execution: ForwardedExecution,
    link: Link,
  ): Promise<InstanceReply> {
    this.assertCanServe(execution.group);
    const reply = await this.options.runner.run(this.decode(execution, link));
    assertReplyFits(reply, execution.isRead, link.acceptedMessageBytes);
    return reply;
  }

  private async serveTransaction(
    request: TransactionMessage,
    link: Link,
  ): Promise<InstanceReply> {
    const execution = this.decode(request.execution, link);
    const transactions = this.linkStateOf(link).transactions;
    const forwarded = request.isFirst
      ? this.open(request, execution, transactions)
      : transactions.get(request.transaction);
    if (forwarded === undefined) throw unknownTransactionError();
    clearTimeout(forwarded.idleTimer);
    forwarded.isBusy = true;
    try {
      const {transaction} = forwarded;
      if (!request.isCommit) {
        const reply = await transaction.run(execution);
        // A reply that cannot be sent ends the transaction, so nothing of it is kept.
        assertReplyFits(reply, true, link.acceptedMessageBytes);
        return reply;
      }
      const reply = await transaction.commit(execution);
      transactions.delete(request.transaction);
      assertReplyFits(
        reply,
        !transaction.hasWritten,
        link.acceptedMessageBytes,
      );
      return reply;
    } catch (error) {
      endTransaction(transactions, request.transaction);
      throw error;
    } finally {
      forwarded.isBusy = false;
      // If the link has closed in the meantime, nothing else would end the transaction.
      if (!link.isOpen) forwarded.transaction.rollBack();
      else if (this.isEndingTransactions)
        endTransaction(transactions, request.transaction);
      else if (transactions.has(request.transaction)) {
        this.startIdleTimer(transactions, request.transaction, forwarded);
      }
    }
  }

  /**
   * Decodes a request, unless its deadline has passed. A request that waited
   * while this process was frozen must not run, because its caller has already
   * received another result.
   */
  private decode(execution: ForwardedExecution, link: Link): ExecutionRequest {
    const linkState = this.linkStateOf(link);
    const ageMs = linkState.requestAge.estimateAgeMs(
      execution.sentAt,
      readClocks(),
    );
    const isExpired = ageMs >= execution.remainingMs;
    // A sender that gave up a moment ago says nothing about the other requests of the link,
    // and other requests overtake one that is sent in segments.
    const wasPaused =
      isExpired && ageMs >= PAUSED_LINK_AGE_MS && !maySpanSegments(execution);
    if (wasPaused && !linkState.hasExpiredRequest) {
      linkState.hasExpiredRequest = true;
      this.options.log.warn(
        'A forwarded request arrived after its deadline; closing the link.',
        {
          request: execution.requestId,
          peer: link.peer?.process,
          wayMs: Math.round(ageMs),
          remainingMs: Math.round(execution.remainingMs),
        },
      );
      // A new link starts with a new estimate of the request age.
      setTimeout(() => link.close(), LATE_LINK_CLOSE_DELAY_MS).unref();
    }
    if (!isExpired && !linkState.hasExpiredRequest)
      return limitDeadlines(
        decodeExecution(execution, ageMs),
        this.options.answersByMs(),
      );
    throw new SapphiregladeError(
      ErrorKind.DeadlineUnreachable,
      'The statement reached the owner after its deadline.',
    );
  }

  private open(
    request: TransactionMessage,
    {route, startedAtMs}: ExecutionRequest,
    transactions: Map<number, ForwardedTransaction>,
  ): ForwardedTransaction {
    this.assertCanServe(route.group);
    const transaction = new SessionTransaction(
      request.isReadOnly,
      route,
      this.options.runner,
      startedAtMs,
    );
    const forwarded = {transaction, isBusy: true, idleTimer: undefined};
    transactions.set(request.transaction, forwarded);
    return forwarded;
  }

  /** Limits how long an entry proxy that failed silently can hold a connection. */
  private startIdleTimer(
    transactions: Map<number, ForwardedTransaction>,
    id: number,
    forwarded: ForwardedTransaction,
  ): void {
    const limitMs =
      this.options.configuration.current?.transactionIdleTimeoutMs;
    if (limitMs === undefined) return;
    forwarded.idleTimer = setTimeout(
      () => endTransaction(transactions, id),
      limitMs + IDLE_MARGIN_MS,
    );
    forwarded.idleTimer.unref();
  }

  private assertCanServe(group: string): void {
    if (this.isDraining) {
      throw new SapphiregladeError(
        ErrorKind.ShuttingDown,
        'The owner is stopping.',
      );
    }
    if (this.options.isOwned(group)) return;
    throw new SapphiregladeError(
      ErrorKind.NoOwner,
      `This proxy does not own group ${group}.`,
    );
  }

  private linkStateOf(link: Link): ServedLinkState {
    const existing = this.linkStates.get(link);
    if (existing !== undefined) return existing;
    const transactions = new Map<number, ForwardedTransaction>();
    const requestAge = new RequestAgeEstimator(link.openedAt);
    const linkState = {transactions, requestAge, hasExpiredRequest: false};
    this.linkStates.set(link, linkState);
    link.closed$.subscribe(() => {
      this.linkStates.delete(link);
      for (const id of [...transactions.keys()])
        endTransaction(transactions, id);
    });
    return linkState;
  }
}

/** The reply to a rollback. */
const EMPTY_REPLY: InstanceReply = {
  rows: [],
  signature: undefined,
  refusal: undefined,
  state: 'idle',
  position: undefined,
  report: undefined,
};

function endTransaction(
  transactions: Map<number, ForwardedTransaction>,
  id: number,
): void {
  const forwarded = transactions.get(id);
  transactions.delete(id);
  if (forwarded === undefined) return;
  clearTimeout(forwarded.idleTimer);
  forwarded.transaction.rollBack();
}

function unknownTransactionError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.TransactionLost,
    'The transaction has ended at its owner and was rolled back.',
  );
}
