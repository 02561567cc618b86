import type {SapphiregladeError} from '@sapphireglade/decisions';
import {
  CommitGate,
  ConnectionWaitQueue,
  HoldingTime,
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
  awaitsReplica,
  isAcknowledgedCommit,
  unresponsiveSince,
  commitsStalledSince,
} from './instance-responsiveness.js';
import {
  cheapestConnection,
  learnStanding,
  longestStanding,
  youngestConnection,
} from './connection-choice.js';
import {
  queueDeadlineError,
  noConnectionError,
  noShareError,
  queueFullError,
} from './pool-errors.js';
import {InstanceReachability} from './instance-reachability.js';
import {PoolLog} from './pool-log.js';
import {PooledConnection} from './pooled-connection.js';
import {RoundTripEstimator} from './round-trip-estimator.js';
import type {
  ConnectionRequest,
  ReportedPosition,
  QueuedConnectionRequest,
} from './types.js';

/** Timeout for opening a connection, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;

/** Number of connections that are kept open without demand. */
const WARM_CONNECTIONS = 1;

/** Idle timeout of connections beyond the warm ones, in milliseconds. Short, because after a loss of power instances still count the connections that were open for three seconds. */
const IDLE_TIMEOUT_MS = 400;

/** Time without any answer after which requests no longer wait for an instance, in milliseconds; longer than an instance needs to serve a full queue. */
const UNRESPONSIVE_TIMEOUT_MS = 500;

/** Time without any answer after which a new connection probes an instance, in milliseconds; a single answer may be lost. */
const PROBE_DELAY_MS = 200;

/**
 * The connections of this proxy to one instance.
 *
 * A connection serves one statement or transaction of a session at a time. The
 * number of connections never exceeds the share. Further requests wait in order
 * of priority and deadline, or are refused immediately.
 */
export class InstancePool {
  /** Whether a connection is kept open without demand. */
  shouldKeepWarm = true;
  /** When the instance last failed to answer, in milliseconds. */
  lastFailedAtMs = -Infinity;
  /** Since when it refuses statements as a replica, although a record names it as the primary. */
  refusedAsPrimary: {revision: number; sinceMs: number} | undefined;
  /** Emits each position that the instance reports. */
  readonly positions$ = new Subject<ReportedPosition>();
  /** Decides whether commits are sent to the instance. */
  readonly commitGate = new CommitGate();
  private readonly open = new Set<PooledConnection>();
  private readonly idle: PooledConnection[] = [];
  private readonly queue = new ConnectionWaitQueue<QueuedConnectionRequest>();
  private readonly holding = new HoldingTime();
  private openingCount = 0;
  private share = 0;
  private lastCommitAtMs = -Infinity;
  private readonly roundTrip = new RoundTripEstimator();
  private readonly reachability: InstanceReachability;
  private isClosed = false;

  constructor(
    readonly endpoint: InstanceEndpoint,
    private readonly connector: InstanceConnector,
    log: Logger,
  ) {
    this.reachability = new InstanceReachability(new PoolLog(endpoint, log));
  }

  /** Number of connections that may be open. */
  get connectionShare(): number {
    return this.share;
  }

  /** Number of waiting requests. */
  get queueLength(): number {
    return this.queue.length;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.open.size;
  }

  /** Number of idle connections. */
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

  /** When the instance last answered, in milliseconds. */
  get lastAnsweredAtMs(): number {
    return this.roundTrip.lastAnsweredAtMs;
  }

  /** Time since which no connection could be opened; undefined if the instance is reachable. */
  get unreachableSinceMs(): number | undefined {
    return this.reachability.unreachableSinceMs;
  }

  /** Whether the instance is not known to be unreachable, and may have connections of this proxy. */
  get canBeReached(): boolean {
    return this.unreachableSinceMs === undefined && this.share > 0;
  }

  /** Time since which the instance has not answered although commands are pending, if so. */
  get unresponsiveSinceMs(): number | undefined {
    return unresponsiveSince([...this.open]);
  }

  /** Time since which commits are pending and none was acknowledged, if so. */
  get commitsStalledSinceMs(): number | undefined {
    return commitsStalledSince([...this.open], this.lastCommitAtMs);
  }

  /**
   * Returns since when the instance behind a connection is known to have run
   * without a restart, in milliseconds; undefined if none is open.
   */
  standingSinceMs(connection = longestStanding(this.open)): number | undefined {
    learnStanding(this.open);
    return connection?.standingSinceMs;
  }

  /** Sets how many connections may be open, and closes idle ones beyond that. Without any, nothing is known of the instance and requests are refused. */
  setShare(share: number): void {
    this.share = share;
    if (share === 0) {
      this.reachability.forget();
      this.refusedAsPrimary = undefined;
      this.rejectAll(noShareError(this.endpoint));
    }
    while (this.open.size + this.openingCount > share) {
      const surplus = youngestConnection(this.idle);
      if (surplus === undefined) break;
      this.discard(surplus, 'the connection share was reduced');
    }
  }

  /** Opens the warm connections and closes unused ones. Normally having few leaves room below the owner's limit for restarting proxies, whose old ones still count. */
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
    const [unused] = this.idle;
    const isUnused =
      unused !== undefined && nowMs - unused.releasedAtMs > IDLE_TIMEOUT_MS;
    const kept = this.shouldKeepWarm ? WARM_CONNECTIONS : 0;
    if (isUnused && this.open.size > kept)
      this.discard(unused, 'it exceeded the idle timeout');
  }

  /**
   * Acquires a connection, and waits for one if none is idle.
   *
   * @throws SapphiregladeError of kind `overloaded` or `no-connection`, outcome `not run`.
   */
  acquire(request: ConnectionRequest): Promise<PooledConnection> {
    const nowMs = steadyNowMs();
    const idle = this.takeIdle(request.values);
    if (idle !== undefined) return Promise.resolve(idle);
    if (this.isClosed)
      return Promise.reject(this.createConnectionError('it was removed'));
    if (this.share === 0) return Promise.reject(noShareError(this.endpoint));
    if (this.isUnresponsive(UNRESPONSIVE_TIMEOUT_MS, nowMs)) {
      return Promise.reject(this.createConnectionError('it does not answer'));
    }
    if (this.canOpenConnection(nowMs)) this.openConnection();
    if (!this.canServeSoon) {
      return Promise.reject(this.createConnectionError('it cannot be reached'));
    }
    return new Promise((resolve, reject) => {
      const queued = {...request, resolve, reject};
      const refusal = this.queue.offer(queued, this.connectionCapacity, nowMs);
      if (refusal === undefined) return;
      reject(queueFullError(this.endpoint, this.queue.length, refusal));
    });
  }

  /** Acquires an idle connection without waiting, if there is one. */
  tryAcquire(): PooledConnection | undefined {
    return this.takeIdle(new Map());
  }

  /** Releases a connection; closes it if it is in a transaction or not needed. */
  release(connection: PooledConnection): void {
    this.holding.record(steadyNowMs() - connection.acquiredAtMs);
    if (!this.open.has(connection)) return;
    const isClean =
      connection.isOpen && connection.state === TransactionState.Idle;
    const isSurplus = this.open.size > this.share;
    if (!isClean || isSurplus || this.isClosed) {
      this.discard(connection, isClean ? 'it is not needed' : 'it is not idle');
      return;
    }
    connection.releasedAtMs = steadyNowMs();
    this.idle.push(connection);
    this.serveQueue();
  }

  /** Closes a connection whose state is unknown. */
  discard(connection: PooledConnection, reason: string): void {
    connection.close(reason);
    this.removeConnection(connection);
  }

  /** Rejects the requests that have waited past their deadline. */
  rejectExpired(): void {
    for (const expired of this.queue.removeExpired(steadyNowMs())) {
      expired.reject(queueDeadlineError(this.endpoint, this.holdingMs));
    }
  }

  /** Rejects all requests and closes all connections, because the instance was removed. */
  close(reason: string): void {
    this.isClosed = true;
    this.rejectAll(this.createConnectionError(reason));
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
        this.reachability.isOverLimit ? 1 : this.share,
      ),
      holdingMs: this.holdingMs,
    };
  }

  /** Returns whether the instance has not answered any command for longer than a limit, in milliseconds. */
  private isUnresponsive(limitMs: number, nowMs: number): boolean {
    const sinceMs = this.unresponsiveSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs > limitMs;
  }

  /** Whether a connection is open or expected to open. An instance that could not be reached is not expected to answer the next attempt. */
  private get canServeSoon(): boolean {
    const isOpening = this.openingCount > 0 && this.canBeReached;
    return this.open.size > 0 || isOpening || this.reachability.isOverLimit;
  }

  private canOpenConnection(nowMs: number): boolean {
    const total = this.open.size + this.openingCount;
    if (this.isClosed || total >= this.share) return false;
    return this.reachability.canOpen(nowMs);
  }

  private takeIdle(
    values: ReadonlyMap<string, string>,
  ): PooledConnection | undefined {
    const best = cheapestConnection(this.idle, values);
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
      if (!this.canServeSoon)
        this.rejectAll(this.createConnectionError('it cannot be reached'));
    });
  }

  private async connect(): Promise<void> {
    const sentAtMs = steadyNowMs();
    try {
      const wrapped = await this.connector.open(this.endpoint, OPEN_TIMEOUT_MS);
      const pooled = new PooledConnection(wrapped, (reply, atMs, command) =>
        this.answered(reply, atMs, command),
      );
      wrapped.onClosed(reason => this.onConnectionLost(pooled, reason));
      this.opened(pooled, wrapped.greeting, sentAtMs);
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
    this.reachability.recordOpened();
    this.open.add(pooled);
    this.recordObservation(greeting, sentAtMs);
    this.idle.push(pooled);
    this.serveQueue();
  }

  private recordOpenFailure(error: SapphiregladeError): void {
    const {reachability, share} = this;
    const nowMs = steadyNowMs();
    reachability.recordFailure(error, nowMs, this.open.size, share);
    if (!reachability.isOverLimit) this.lastFailedAtMs = nowMs;
  }

  private rejectAll(error: Error): void {
    for (const queued of this.queue.removeAll()) queued.reject(error);
  }

  private answered(
    reply: InstanceReply,
    sentAtMs: number,
    command: InstanceCommand,
  ): void {
    if (awaitsReplica(command)) this.commitGate.recordAnswered();
    if (isAcknowledgedCommit(command, reply))
      this.lastCommitAtMs = steadyNowMs();
    this.recordObservation(reply, sentAtMs);
  }

  private recordObservation(reply: InstanceReply, sentAtMs: number): void {
    this.roundTrip.recordAnswer(sentAtMs, steadyNowMs());
    if (reply.position === undefined) return;
    const {position, report} = reply;
    this.positions$.next({sentAtMs, position, term: report?.term});
  }

  private onConnectionLost(connection: PooledConnection, reason: string): void {
    if (!this.open.has(connection)) return;
    this.lastFailedAtMs = steadyNowMs();
    this.reachability.recordLost(reason);
    this.removeConnection(connection);
    this.maintain();
  }

  private removeConnection(connection: PooledConnection): void {
    learnStanding(this.open);
    this.open.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
  private createConnectionError(reason: string): Error {
    return noConnectionError(this.endpoint, reason);
  }
}
