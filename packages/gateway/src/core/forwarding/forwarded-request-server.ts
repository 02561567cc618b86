import {
  ErrorKind,
  RequestAgeEstimator,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {Link, LinkHandlers} from '@sapphireglade/protocol';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {ExecutionRequest, StatementRunner} from '../sessions/index.js';
import {SessionTransaction} from '../sessions/index.js';
import type {
  RelayResponse,
  StoreRelayServer,
  RelayRequest,
} from '../store-relay/index.js';
import {relayRequestSchema} from '../store-relay/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {readClocks} from '../time/index.js';
import type {
  ForwardedMessage,
  ForwardedResponse,
  ForwardedExecution,
} from './messages.js';
import {
  decodeExecution,
  encodeError,
  encodeReply,
  ForwardedKind,
  forwardedSchema,
} from './messages.js';

/** How much longer than the entry proxy the owner lets a transaction idle, in milliseconds, so that the entry proxy's word comes first. */
const IDLE_MARGIN_MS = 1_000;

/** How long a link stays open after a request that came too late, in milliseconds, so that the answer leaves. */
const LATE_LINK_CLOSE_DELAY_MS = 100;

/** What the desk serves with. */
export interface ForwardedRequestServerOptions {
  /** Runs statements on connections of this proxy. */
  readonly runner: StatementRunner;
  readonly isOwned: (group: string) => boolean;
  /** Availability zone of a group's primary, if it is known. */
  readonly primaryZoneOf: (group: string) => string | undefined;
  readonly configuration: LatestConfiguration;
  /** Passes on what is known of the store. */
  readonly relayServer: StoreRelayServer;
  readonly log: Logger;
}

/** A transaction of another proxy's caller. */
interface ForwardedTransaction {
  readonly transaction: SessionTransaction;
  isBusy: boolean;
  idleTimer: NodeJS.Timeout | undefined;
}

/** What the desk keeps of one link. */
interface ServedLinkState {
  readonly transactions: Map<number, ForwardedTransaction>;
  readonly requestAge: RequestAgeEstimator;
  /** Whether a request came after its time; those behind it are late as well. */
  hasExpiredRequest: boolean;
}

type TransactionMessage = Extract<
  ForwardedMessage,
  {kind: typeof ForwardedKind.InTransaction}
>;

/** Serves what entry proxies send to this proxy as an owner. */
export class ForwardedRequestServer implements LinkHandlers {
  private readonly linkStates = new Map<Link, ServedLinkState>();
  private isDraining = false;
  private running = 0;

  constructor(private readonly options: ForwardedRequestServerOptions) {}

  /** Statements that run and transactions that are open. */
  get activeCount(): number {
    let count = this.running;
    for (const {transactions} of this.linkStates.values()) {
      count += transactions.size;
    }
    return count;
  }

  /** Takes no new statements and transactions; open ones may go on. */
  drain(): void {
    this.isDraining = true;
  }

  /** Ends the transactions in which no statement runs. */
  endOpenTransactions(): void {
    for (const {transactions} of this.linkStates.values()) {
      for (const [id, guest] of transactions) {
        if (!guest.isBusy) endTransaction(transactions, id);
      }
    }
  }

  async onRequest(
    body: unknown,
    _peer: unknown,
    _deadlineMs: number,
    link: Link,
  ): Promise<ForwardedResponse | RelayResponse> {
    const news = relayRequestSchema.safeParse(body);
    if (news.success) return this.answerRelayRequest(news.data, link);
    const parsed = forwardedSchema.safeParse(body);
    if (!parsed.success) {
      this.options.log.warn('Another proxy sent a malformed request.', {
        peer: link.peer?.process,
        problem: parsed.error.issues[0]?.message,
      });
      return encodeError(
        new SapphiregladeError(ErrorKind.InvalidInput, 'It is malformed.'),
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
      // What is not the product's own error is a fault, and told as one.
      if (!(error instanceof SapphiregladeError)) {
        this.options.log.error('A forwarded request met a fault.', {
          error: String(error),
        });
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
    // The first statement on the link may come long after it was opened.
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
    this.options.log.debug('A notice arrived that nothing here listens to.');
  }

  private dispatch(
    request: ForwardedMessage,
    link: Link,
  ): Promise<InstanceReply> {
    switch (request.kind) {
      case ForwardedKind.Statement:
        this.assertCanServe(request.execution.group);
        return this.options.runner.run(this.decode(request.execution, link));
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

  private async serveTransaction(
    request: TransactionMessage,
    link: Link,
  ): Promise<InstanceReply> {
    const execution = this.decode(request.execution, link);
    const table = this.linkStateOf(link).transactions;
    const guest = request.isFirst
      ? this.open(request, execution, table)
      : table.get(request.transaction);
    if (guest === undefined) throw unknownTransactionError();
    clearTimeout(guest.idleTimer);
    guest.isBusy = true;
    try {
      const {transaction} = guest;
      if (!request.isCommit) return await transaction.run(execution);
      const reply = await transaction.commit(execution);
      table.delete(request.transaction);
      return reply;
    } catch (error) {
      endTransaction(table, request.transaction);
      throw error;
    } finally {
      guest.isBusy = false;
      // The link may have closed meanwhile; nobody would end it later.
      if (!link.isOpen) guest.transaction.rollBack();
      else if (table.has(request.transaction)) {
        this.startIdleTimer(table, request.transaction, guest);
      }
    }
  }

  /**
   * Decodes a request, unless its time is over. One that waited here while this
   * process was frozen must not run: its caller has been told something else.
   */
  private decode(execution: ForwardedExecution, link: Link): ExecutionRequest {
    const guests = this.linkStateOf(link);
    const wayMs = guests.requestAge.estimateAgeMs(
      execution.sentAt,
      readClocks(),
    );
    if (wayMs >= execution.remainingMs && !guests.hasExpiredRequest) {
      guests.hasExpiredRequest = true;
      this.options.log.warn('A forwarded request came after its time.', {
        request: execution.requestId,
        peer: link.peer?.process,
        wayMs: Math.round(wayMs),
        remainingMs: Math.round(execution.remainingMs),
      });
      // A new link gets a new estimate of the way.
      setTimeout(() => link.close(), LATE_LINK_CLOSE_DELAY_MS).unref();
    }
    if (!guests.hasExpiredRequest) return decodeExecution(execution, wayMs);
    throw new SapphiregladeError(
      ErrorKind.DeadlineUnreachable,
      'The statement reached the owner after its time.',
    );
  }

  private open(
    request: TransactionMessage,
    {route, startedAtMs}: ExecutionRequest,
    table: Map<number, ForwardedTransaction>,
  ): ForwardedTransaction {
    this.assertCanServe(route.group);
    const transaction = new SessionTransaction(
      request.isReadOnly,
      route,
      this.options.runner,
      startedAtMs,
    );
    const guest = {transaction, isBusy: true, idleTimer: undefined};
    table.set(request.transaction, guest);
    return guest;
  }

  /** An entry proxy that is gone without a word must not hold a connection. */
  private startIdleTimer(
    table: Map<number, ForwardedTransaction>,
    id: number,
    guest: ForwardedTransaction,
  ): void {
    const limitMs =
      this.options.configuration.current?.transactionIdleTimeoutMs;
    if (limitMs === undefined) return;
    guest.idleTimer = setTimeout(
      () => endTransaction(table, id),
      limitMs + IDLE_MARGIN_MS,
    );
    guest.idleTimer.unref();
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
    const known = this.linkStates.get(link);
    if (known !== undefined) return known;
    const transactions = new Map<number, ForwardedTransaction>();
    const age = new RequestAgeEstimator(link.openedAt);
    const guests = {transactions, requestAge: age, hasExpiredRequest: false};
    this.linkStates.set(link, guests);
    link.closed$.subscribe(() => {
      this.linkStates.delete(link);
      for (const id of [...transactions.keys()])
        endTransaction(transactions, id);
    });
    return guests;
  }
}

/** The answer to a rollback. */
const EMPTY_REPLY: InstanceReply = {
  rows: [],
  signature: undefined,
  refusal: undefined,
  state: 'idle',
  position: undefined,
  report: undefined,
};

function endTransaction(
  table: Map<number, ForwardedTransaction>,
  id: number,
): void {
  const guest = table.get(id);
  table.delete(id);
  if (guest === undefined) return;
  clearTimeout(guest.idleTimer);
  guest.transaction.rollBack();
}

function unknownTransactionError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.TransactionLost,
    'The transaction has ended at its owner; nothing of it is kept.',
  );
}
