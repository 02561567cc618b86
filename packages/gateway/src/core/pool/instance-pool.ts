import type {SapphiregladeError} from '@sapphireglade/decisions';
import {
  DispatchQueue,
  HoldingTime,
  planSynchronization,
  synchronizationCost,
  TransactionState,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {Subject} from 'rxjs';
import {steadyNow} from '../time/index.js';
import type {
  InstanceCommand,
  InstanceConnector,
  InstanceEndpoint,
  InstanceReply,
} from '../upstream/index.js';
import {
  isAcknowledgedCommit,
  silentSince,
  stalledSince,
} from './answer-times.js';
import {OpeningPace} from './opening-pace.js';
import {cameTooLate, notConnected, queueIsFull} from './pool-errors.js';
import {PooledConnection} from './pooled-connection.js';
import {RoundTrip} from './round-trip.js';
import type {
  ConnectionRequest,
  ShownPosition,
  WaitingConnectionRequest,
} from './types.js';

const OVER_LIMIT_MESSAGE = 'An instance refused a connection over its limit.';

/** How long opening a connection may take, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;

/** Connections that are kept open without need. */
const WARM_CONNECTIONS = 1;

/** How long a connection past the warm ones may be unused, in milliseconds; at a loss of power instances go on counting what was open for three seconds. */
const UNUSED_LIMIT_MS = 400;

/** How long an instance may owe every answer before requests no longer wait for it, in milliseconds; longer than a full queue of it takes. */
const SILENT_LIMIT_MS = 500;

/** How long an instance may owe every answer before a new connection tries it, in milliseconds; one answer may be lost alone. */
const PROBE_AFTER_MS = 200;

/**
 * The connections of this proxy to one instance.
 *
 * A connection serves one session's statement or transaction at a time. The
 * number of connections never passes the share; requests beyond it wait in
 * order of urgency or are refused at once.
 */
export class InstancePool {
  /** Whether a connection is kept open without need. */
  isKeptWarm = true;
  /** When the instance last refused a read because it was behind. */
  lastBehindAtMs = -Infinity;
  /** When the instance last failed to answer, in milliseconds. */
  lastFailedAtMs = -Infinity;
  private readonly open = new Set<PooledConnection>();
  private readonly idle: PooledConnection[] = [];
  private readonly queue = new DispatchQueue<WaitingConnectionRequest>();
  private readonly holding = new HoldingTime();
  private readonly shown = new Subject<ShownPosition>();
  private opening = 0;
  private share = 0;
  private lastCommitMs = -Infinity;
  private readonly roundTrip = new RoundTrip();
  private unreachable: number | undefined;
  private readonly pace = new OpeningPace();
  private isEnded = false;

  constructor(
    readonly endpoint: InstanceEndpoint,
    private readonly connector: InstanceConnector,
    private readonly log: Logger,
  ) {}

  /** Emits each position that the instance shows. */
  get positions$(): Subject<ShownPosition> {
    return this.shown;
  }

  /** Connections that may be open. */
  get connectionShare(): number {
    return this.share;
  }

  /** Requests that wait. */
  get queued(): number {
    return this.queue.length;
  }

  /** Connections that are open. */
  get connections(): number {
    return this.open.size;
  }

  /** Connections that are free. */
  get free(): number {
    return this.idle.length;
  }

  /** Smoothed time for which a request holds a connection, in milliseconds. */
  get holdingMs(): number {
    return this.holding.milliseconds;
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
  get silentSinceMs(): number | undefined {
    return silentSince([...this.open]);
  }

  /** Since when commits have been sent and none has been acknowledged. */
  get stalledSinceMs(): number | undefined {
    return stalledSince([...this.open], this.lastCommitMs);
  }

  /** Sets how many connections may be open; more than that are closed. */
  setShare(share: number): void {
    this.share = share;
    while (this.open.size + this.opening > share) {
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
    const nowMs = steadyNow();
    const isCold =
      this.isKeptWarm && this.open.size + this.opening < WARM_CONNECTIONS;
    if (isCold && this.mayOpen(nowMs)) this.openConnection();
    const needsMore =
      this.queue.length > this.opening ||
      (this.opening === 0 && this.owes(PROBE_AFTER_MS, nowMs));
    if (needsMore && this.mayOpen(nowMs)) this.openConnection();
    const unused = this.idle[0];
    const isUnused =
      unused !== undefined && nowMs - unused.releasedAtMs > UNUSED_LIMIT_MS;
    const kept = this.isKeptWarm ? WARM_CONNECTIONS : 0;
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
    const nowMs = steadyNow();
    const ready = this.takeIdle(request.values);
    if (ready !== undefined) return Promise.resolve(ready);
    if (this.isEnded) return Promise.reject(this.noConnection('it has left'));
    if (this.owes(SILENT_LIMIT_MS, nowMs)) {
      return Promise.reject(this.noConnection('it does not answer'));
    }
    if (this.mayOpen(nowMs)) this.openConnection();
    if (!this.mayServeSoon) {
      return Promise.reject(this.noConnection('it cannot be reached'));
    }
    return new Promise((resolve, reject) => {
      const waiting = {...request, resolve, reject};
      const refusal = this.queue.offer(waiting, this.supply, nowMs);
      if (refusal === undefined) return;
      reject(queueIsFull(this.endpoint, this.queue.length, refusal));
    });
  }

  /** Takes a free connection without waiting, if there is one. */
  tryAcquire(): PooledConnection | undefined {
    return this.takeIdle(new Map());
  }

  /** Gives a connection back; one that is not clean is closed. */
  release(connection: PooledConnection): void {
    this.holding.observe(steadyNow() - connection.takenAtMs);
    if (!this.open.has(connection)) return;
    const isClean =
      connection.isOpen && connection.state === TransactionState.Idle;
    const isSurplus = this.open.size > this.share;
    if (!isClean || isSurplus || this.isEnded) {
      this.discard(connection, isClean ? 'it is not needed' : 'it is unclean');
      return;
    }
    connection.releasedAtMs = steadyNow();
    this.idle.push(connection);
    this.serveQueue();
  }

  /** Closes a connection whose state is not known. */
  discard(connection: PooledConnection, reason: string): void {
    connection.close(reason);
    this.forget(connection);
  }

  /** Refuses what has waited past its deadline. */
  refuseLate(): void {
    for (const late of this.queue.removeLate(steadyNow())) {
      late.reject(cameTooLate(this.endpoint, this.holdingMs));
    }
  }

  /** Closes everything, because the instance has left. */
  end(reason: string): void {
    this.isEnded = true;
    this.refuseAll(reason);
    for (const connection of [...this.open]) {
      this.open.delete(connection);
      connection.close(reason);
    }
    this.idle.length = 0;
  }

  private get supply(): {connections: number; holdingMs: number} {
    return {
      connections: Math.max(
        this.open.size + this.opening,
        this.pace.isOverLimit ? 1 : this.share,
      ),
      holdingMs: this.holdingMs,
    };
  }

  /** Whether the instance has owed every answer for a time, in milliseconds. */
  private owes(limitMs: number, nowMs: number): boolean {
    const sinceMs = this.silentSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs > limitMs;
  }

  /** Whether a connection is open, or will probably open. */
  private get mayServeSoon(): boolean {
    return this.open.size + this.opening > 0 || this.pace.isOverLimit;
  }

  private mayOpen(nowMs: number): boolean {
    const total = this.open.size + this.opening;
    return !this.isEnded && total < this.share && this.pace.allows(nowMs);
  }

  /** Prefers the connection that needs the fewest changes. */
  private takeIdle(
    values: ReadonlyMap<string, string>,
  ): PooledConnection | undefined {
    let best: PooledConnection | undefined;
    let bestCost = Infinity;
    // The last one used comes first among equals, so that others fall idle.
    for (const connection of [...this.idle].reverse()) {
      const cost = synchronizationCost(planSynchronization(connection, values));
      if (cost >= bestCost) continue;
      best = connection;
      bestCost = cost;
    }
    if (best === undefined) return undefined;
    this.idle.splice(this.idle.indexOf(best), 1);
    best.takenAtMs = steadyNow();
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
    this.opening += 1;
    void this.connect().finally(() => {
      this.opening -= 1;
      if (!this.mayServeSoon) this.refuseAll('it cannot be reached');
    });
  }

  private async connect(): Promise<void> {
    const sentAtMs = steadyNow();
    try {
      const connection = await this.connector.open(
        this.endpoint,
        OPEN_TIMEOUT_MS,
      );
      const pooled = new PooledConnection(connection, (reply, atMs, command) =>
        this.answered(reply, atMs, command),
      );
      connection.onClosed(reason => this.lost(pooled, reason));
      this.opened(pooled, connection.greeting, sentAtMs);
    } catch (error) {
      this.openFailed(error as SapphiregladeError);
    }
  }

  private opened(
    pooled: PooledConnection,
    greeting: InstanceReply,
    sentAtMs: number,
  ): void {
    if (this.isEnded || this.open.size >= this.share) {
      pooled.close('it is not needed');
      return;
    }
    if (this.unreachable !== undefined) {
      this.log.info('An instance can be reached again.', this.fields);
    }
    this.unreachable = undefined;
    this.pace.succeeded();
    this.open.add(pooled);
    this.learn(greeting, sentAtMs);
    this.idle.push(pooled);
    this.serveQueue();
  }

  private openFailed(error: SapphiregladeError): void {
    const nowMs = steadyNow();
    const wasOverLimit = this.pace.isOverLimit;
    this.pace.failed(error, nowMs);
    if (this.pace.isOverLimit) {
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

  private refuseAll(reason: string): void {
    for (const waiting of this.queue.removeAll()) {
      waiting.reject(this.noConnection(reason));
    }
  }

  private answered(
    reply: InstanceReply,
    sentAtMs: number,
    command: InstanceCommand,
  ): void {
    if (isAcknowledgedCommit(command, reply)) this.lastCommitMs = steadyNow();
    this.learn(reply, sentAtMs);
  }

  private learn(reply: InstanceReply, sentAtMs: number): void {
    this.roundTrip.observe(steadyNow() - sentAtMs);
    if (reply.position === undefined) return;
    this.shown.next({sentAtMs, position: reply.position});
  }

  private lost(connection: PooledConnection, reason: string): void {
    if (!this.open.has(connection)) return;
    this.lastFailedAtMs = steadyNow();
    this.log.debug('A connection was lost.', {...this.fields, reason});
    this.forget(connection);
    this.maintain();
  }

  private forget(connection: PooledConnection): void {
    this.open.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }

  private noConnection(reason: string): Error {
    return notConnected(this.endpoint, reason);
  }

  private get fields(): Record<string, string> {
    return {instance: this.endpoint.id, group: this.endpoint.group};
  }
}
