import type {SapphiregladeError} from '@sapphireglade/decisions';
import {
  ConnectionWaitQueue,
  HoldingTime,
  planSynchronization,
  countSynchronizationMessages,
  TransactionState,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {Subject} from 'rxjs';
import {steadyNowMs} from '../time/index.js';
import type {
  InstanceCommand,
  InstanceConnector,
  InstanceEndpoint,
  InstanceReply,
} from '../upstream/index.js';
import {
  isAcknowledgedCommit,
  unresponsiveSince,
  commitsStalledSince,
} from './instance-responsiveness.js';
import {ConnectionBackoff} from './connection-backoff.js';
import {
  queueDeadlineError,
  noConnectionError,
  queueFullError,
} from './pool-errors.js';
import {PooledConnection} from './pooled-connection.js';
import {RoundTripEstimator} from './round-trip-estimator.js';
import type {
  ConnectionRequest,
  ReportedPosition,
  QueuedConnectionRequest,
} from './types.js';

const OVER_LIMIT_MESSAGE = 'An instance refused a connection over its limit.';

/** How long opening a connection may take, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;

/** Connections that are kept open without need. */
const WARM_CONNECTIONS = 1;

/** How long a connection past the warm ones may be unused, in milliseconds; at a loss of power instances go on counting what was open for three seconds. */
const IDLE_TIMEOUT_MS = 400;

/** How long an instance may owe every answer before requests no longer wait for it, in milliseconds; longer than a full queue of it takes. */
const UNRESPONSIVE_TIMEOUT_MS = 500;

/** How long an instance may owe every answer before a new connection tries it, in milliseconds; one answer may be lost alone. */
const PROBE_DELAY_MS = 200;

/**
 * The connections of this proxy to one instance.
 *
 * A connection serves one session's statement or transaction at a time. The
 * number of connections never passes the share; requests beyond it wait in
 * order of urgency or are refused at once.
 */
export class InstancePool {
  /** Whether a connection is kept open without need. */
  shouldKeepWarm = true;
  /** When the instance last refused a read because it was behind. */
  lastBehindAtMs = -Infinity;
  /** When the instance last failed to answer, in milliseconds. */
  lastFailedAtMs = -Infinity;
  private readonly open = new Set<PooledConnection>();
  private readonly idle: PooledConnection[] = [];
  private readonly queue = new ConnectionWaitQueue<QueuedConnectionRequest>();
  private readonly holding = new HoldingTime();
  private readonly shown = new Subject<ReportedPosition>();
  private openingCount = 0;
  private share = 0;
  private lastCommitAtMs = -Infinity;
  private readonly roundTrip = new RoundTripEstimator();
  private unreachable: number | undefined;
  private readonly backoff = new ConnectionBackoff();
  private isClosed = false;

  constructor(
    readonly endpoint: InstanceEndpoint,
    private readonly connector: InstanceConnector,
    private readonly log: Logger,
  ) {}

  /** Emits each position that the instance shows. */
  get positions$(): Subject<ReportedPosition> {
    return this.shown;
  }

  /** Connections that may be open. */
  get connectionShare(): number {
    return this.share;
  }

  /** Requests that wait. */
  get queueLength(): number {
    return this.queue.length;
  }

  /** Connections that are open. */
  get connections(): number {
    return this.open.size;
  }

  /** Connections that are free. */
  get idleCount(): number {
    return this.idle.length;
  }

  /** Smoothed time for which a request holds a connection, in milliseconds. */
  get holdingMs(): number {
    return this.holding.averageMs;
  }

  /** Smoothed round trip to the instance, in milliseconds. */
  get roundTripMs(): number {
    return this.roundTrip.ms;
  }

  /** Since when no connection could be opened, if that is so. */
  get unreachableSinceMs(): number | undefined {
    return this.unreachable;
  }

  /** Since when the instance owes an answer and has been silent. */
  get unresponsiveSinceMs(): number | undefined {
    return unresponsiveSince([...this.open]);
  }

  /** Since when commits have been sent and none has been acknowledged. */
  get commitsStalledSinceMs(): number | undefined {
    return commitsStalledSince([...this.open], this.lastCommitAtMs);
  }

  /** Sets how many connections may be open; more than that are closed. */
  setShare(share: number): void {
    this.share = share;
    while (this.open.size + this.openingCount > share) {
      const surplus = this.idle.pop();
      if (surplus === undefined) break;
      this.open.delete(surplus);
      surplus.close('the share shrank');
    }
  }

  /**
   * Opens the connections that are kept warm, and closes unused ones.
   *
   * Few connections in ordinary times leave room below the owner's limit for
   * proxies that start again while their old connections still count.
   */
  maintain(): void {
    const nowMs = steadyNowMs();
    const isCold =
      this.shouldKeepWarm &&
      this.open.size + this.openingCount < WARM_CONNECTIONS;
    if (isCold && this.canOpenConnection(nowMs)) this.openConnection();
    const needsMore =
      this.queue.length > this.openingCount ||
      (this.openingCount === 0 && this.isUnresponsive(PROBE_DELAY_MS, nowMs));
    if (needsMore && this.canOpenConnection(nowMs)) this.openConnection();
    const unused = this.idle[0];
    const isUnused =
      unused !== undefined && nowMs - unused.releasedAtMs > IDLE_TIMEOUT_MS;
    const kept = this.shouldKeepWarm ? WARM_CONNECTIONS : 0;
    if (isUnused && this.open.size > kept) {
      this.discard(unused, 'it is not used');
    }
  }

  /**
   * Takes a connection, or waits for one.
   *
   * @throws SapphiregladeError of kind `overloaded` or `no-connection`, whose
   *   outcome is `not run`.
   */
  acquire(request: ConnectionRequest): Promise<PooledConnection> {
    const nowMs = steadyNowMs();
    const ready = this.takeIdle(request.values);
    if (ready !== undefined) return Promise.resolve(ready);
    if (this.isClosed)
      return Promise.reject(this.createNoConnectionError('it has left'));
    if (this.isUnresponsive(UNRESPONSIVE_TIMEOUT_MS, nowMs)) {
      return Promise.reject(this.createNoConnectionError('it does not answer'));
    }
    if (this.canOpenConnection(nowMs)) this.openConnection();
    if (!this.canServeSoon) {
      return Promise.reject(
        this.createNoConnectionError('it cannot be reached'),
      );
    }
    return new Promise((resolve, reject) => {
      const waiting = {...request, resolve, reject};
      const refusal = this.queue.offer(waiting, this.connectionCapacity, nowMs);
      if (refusal === undefined) return;
      reject(queueFullError(this.endpoint, this.queue.length, refusal));
    });
  }

  /** Takes a free connection without waiting, if there is one. */
  tryAcquire(): PooledConnection | undefined {
    return this.takeIdle(new Map());
  }

  /** Gives a connection back; one that is not clean is closed. */
  release(connection: PooledConnection): void {
    this.holding.record(steadyNowMs() - connection.acquiredAtMs);
    if (!this.open.has(connection)) return;
    const isClean =
      connection.isOpen && connection.state === TransactionState.Idle;
    const isSurplus = this.open.size > this.share;
    if (!isClean || isSurplus || this.isClosed) {
      this.discard(connection, isClean ? 'it is not needed' : 'it is unclean');
      return;
    }
    connection.releasedAtMs = steadyNowMs();
    this.idle.push(connection);
    this.serveQueue();
  }

  /** Closes a connection whose state is not known. */
  discard(connection: PooledConnection, reason: string): void {
    connection.close(reason);
    this.removeConnection(connection);
  }

  /** Refuses what has waited past its deadline. */
  rejectExpired(): void {
    for (const late of this.queue.removeExpired(steadyNowMs())) {
      late.reject(queueDeadlineError(this.endpoint, this.holdingMs));
    }
  }

  /** Closes everything, because the instance has left. */
  close(reason: string): void {
    this.isClosed = true;
    this.rejectAll(reason);
    for (const connection of [...this.open]) {
      this.open.delete(connection);
      connection.close(reason);
    }
    this.idle.length = 0;
  }

  private get connectionCapacity(): {connections: number; holdingMs: number} {
    return {
      connections: Math.max(
        this.open.size + this.openingCount,
        this.backoff.isOverLimit ? 1 : this.share,
      ),
      holdingMs: this.holdingMs,
    };
  }

  /** Whether the instance has owed every answer for a time, in milliseconds. */
  private isUnresponsive(limitMs: number, nowMs: number): boolean {
    const sinceMs = this.unresponsiveSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs > limitMs;
  }

  /** Whether a connection is open, or will probably open. */
  private get canServeSoon(): boolean {
    return this.open.size + this.openingCount > 0 || this.backoff.isOverLimit;
  }

  private canOpenConnection(nowMs: number): boolean {
    const total = this.open.size + this.openingCount;
    return !this.isClosed && total < this.share && this.backoff.canOpen(nowMs);
  }

  /** Prefers the connection that needs the fewest changes. */
  private takeIdle(
    values: ReadonlyMap<string, string>,
  ): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    let bestCost = Infinity;
    // The last one used comes first among equals, so that others fall idle.
    for (const connection of [...this.idle].reverse()) {
      const cost = countSynchronizationMessages(
        planSynchronization(connection, values),
      );
      if (cost >= bestCost) continue;
      best = connection;
      bestCost = cost;
    }
    if (best === undefined) return undefined;
    this.idle.splice(this.idle.indexOf(best), 1);
    best.acquiredAtMs = steadyNowMs();
    return best;
  }

  private serveQueue(): void {
    while (this.idle.length > 0) {
      const request = this.queue.take();
      if (request === undefined) return;
      const connection = this.takeIdle(request.values);
      if (connection !== undefined) request.resolve(connection);
    }
  }

  private openConnection(): void {
    this.openingCount += 1;
    void this.connect().finally(() => {
      this.openingCount -= 1;
      if (!this.canServeSoon) this.rejectAll('it cannot be reached');
    });
  }

  private async connect(): Promise<void> {
    const sentAtMs = steadyNowMs();
    try {
      const connection = await this.connector.open(
        this.endpoint,
        OPEN_TIMEOUT_MS,
      );
      const pooled = new PooledConnection(connection, (reply, atMs, command) =>
        this.answered(reply, atMs, command),
      );
      connection.onClosed(reason => this.onConnectionLost(pooled, reason));
      this.opened(pooled, connection.greeting, sentAtMs);
    } catch (error) {
      this.recordOpenFailure(error as SapphiregladeError);
    }
  }

  private opened(
    pooled: PooledConnection,
    greeting: InstanceReply,
    sentAtMs: number,
  ): void {
    if (this.isClosed || this.open.size >= this.share) {
      pooled.close('it is not needed');
      return;
    }
    if (this.unreachable !== undefined) {
      this.log.info('An instance can be reached again.', this.fields);
    }
    this.unreachable = undefined;
    this.backoff.recordSuccess();
    this.open.add(pooled);
    this.recordObservation(greeting, sentAtMs);
    this.idle.push(pooled);
    this.serveQueue();
  }

  private recordOpenFailure(error: SapphiregladeError): void {
    const nowMs = steadyNowMs();
    const wasOverLimit = this.backoff.isOverLimit;
    this.backoff.failed(error, nowMs);
    if (this.backoff.isOverLimit) {
      const {fields, share} = this;
      const detail = {...fields, open: this.open.size, share};
      if (!wasOverLimit) this.log.info(OVER_LIMIT_MESSAGE, detail);
      return;
    }
    this.lastFailedAtMs = nowMs;
    if (this.open.size > 0 || this.unreachable !== undefined) return;
    this.unreachable = nowMs;
    this.log.warn('An instance cannot be reached.', {
      ...this.fields,
      error: error.message,
    });
  }

  private rejectAll(reason: string): void {
    for (const waiting of this.queue.removeAll()) {
      waiting.reject(this.createNoConnectionError(reason));
    }
  }

  private answered(
    reply: InstanceReply,
    sentAtMs: number,
    command: InstanceCommand,
  ): void {
    if (isAcknowledgedCommit(command, reply))
      this.lastCommitAtMs = steadyNowMs();
    this.recordObservation(reply, sentAtMs);
  }

  private recordObservation(reply: InstanceReply, sentAtMs: number): void {
    this.roundTrip.observe(steadyNowMs() - sentAtMs);
    if (reply.position === undefined) return;
    this.shown.next({sentAtMs, position: reply.position});
  }

  private onConnectionLost(connection: PooledConnection, reason: string): void {
    if (!this.open.has(connection)) return;
    this.lastFailedAtMs = steadyNowMs();
    this.log.debug('A connection was lost.', {...this.fields, reason});
    this.removeConnection(connection);
    this.maintain();
  }

  private removeConnection(connection: PooledConnection): void {
    this.open.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }

  private createNoConnectionError(reason: string): Error {
    return noConnectionError(this.endpoint, reason);
  }

  private get fields(): Record<string, string> {
    return {instance: this.endpoint.id, group: this.endpoint.group};
  }
}
