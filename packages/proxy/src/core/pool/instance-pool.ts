import type {InstanceResource} from '@sapphireglade/decisions';
import {EMPTY_POSITION} from '@sapphireglade/decisions';
import type {InstanceStatus} from '@sapphireglade/protocol';
import type {UpstreamConnection, UpstreamConnector} from '../upstream/index.js';
import {
  ConnectionAccounting,
  countClientConnections,
} from './connection-accounting.js';
import {isConnectionRefused} from './connection-refusal.js';
import {
  noConnectionError,
  ConnectionRequestQueue,
} from './connection-request-queue.js';

/** Timeout for opening a connection, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;

/** Delay before the next attempt after a failed open, in milliseconds. */
const RECONNECT_DELAY_MS = 200;

/** Interval between checks of the idle connections, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/** Minimum interval between opens beyond a full share, in milliseconds. */
const RECOVERY_INTERVAL_MS = 5_000;

/** Idle time after which a connection is probed, in milliseconds. */
const PROBE_DELAY_MS = 3_000;

/** Probe timeout after which the connection is closed, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;

/** Connections kept open in addition to one per slot. */
const SPARE_CONNECTIONS = 1;

/**
 * Part of a share that is used only while closed connections still count: one
 * connection for watching and one for statements, in case all others stop
 * responding at the same time.
 */
const REPLACEMENT_RESERVE = 2;

/** Minimum number of statement connections, for any share. */
const MINIMUM_STATEMENT_CONNECTIONS = 1;

/** Longest wait for a connection after admission, in milliseconds. */
const ACQUIRE_TIMEOUT_MS = 500;

/** An idle connection with the time of its last use, in milliseconds. */
interface IdleConnection {
  readonly connection: UpstreamConnection;
  readonly usedAtMs: number;
}

/** Connection pool of this process for one instance. */
export class InstancePool {
  private readonly idle: IdleConnection[] = [];
  private readonly accounting = new ConnectionAccounting();
  private readonly waiting: ConnectionRequestQueue;
  private readonly housekeepingTimer: NodeJS.Timeout;
  private watchConnection: UpstreamConnection | undefined;
  private nextOpenAtMs = 0;
  private nextRecoveryAtMs = 0;
  private isStopped = false;

  /**
   * @param instance - The instance to connect to.
   * @param connector - Opens connections.
   * @param limit - Maximum number of connections, including the watch one.
   */
  constructor(
    readonly instance: InstanceResource,
    private readonly connector: UpstreamConnector,
    private limit: number,
  ) {
    this.waiting = new ConnectionRequestQueue(instance.name);
    this.housekeepingTimer = setInterval(
      () => this.runHousekeeping(),
      HOUSEKEEPING_INTERVAL_MS,
    );
    this.housekeepingTimer.unref();
  }

  /** Connections that use up the share, without the watch connection. */
  get connections(): number {
    return (
      this.accounting.used - (this.watchConnection?.isOpen === true ? 1 : 0)
    );
  }

  /**
   * Changes the connection limit and closes idle connections above it.
   *
   * @param limit - Maximum number of connections, including the watch one.
   */
  setLimit(limit: number): void {
    this.limit = limit;
    while (this.accounting.live > limit) {
      const idle = this.idle.shift();
      if (idle === undefined) return;
      void idle.connection.close();
    }
    this.openNeededConnections();
  }

  /** Maximum number of statement connections. */
  get statementLimit(): number {
    const spare = this.limit - 1 - REPLACEMENT_RESERVE;
    return Math.max(MINIMUM_STATEMENT_CONNECTIONS, spare);
  }

  /** Whether a statement connection is open or can be opened now. */
  get isUsable(): boolean {
    if (this.isStopped) return false;
    return this.liveStatementConnections > 0 || this.canOpenConnection();
  }

  /**
   * Returns the connection reserved for watching. If the share has no room for
   * a new one, a statement connection is used instead.
   */
  async openWatchConnection(): Promise<UpstreamConnection> {
    this.watchConnection = await this.acquireWatchConnection();
    this.openNeededConnections();
    return this.watchConnection;
  }

  /**
   * Acquires a connection for one request or transaction.
   *
   * @param deadlineMs - Longest wait, in milliseconds.
   * @throws SapphiregladeError of kind `no-connection` if none becomes free
   *   in time.
   */
  async acquire(deadlineMs: number): Promise<UpstreamConnection> {
    if (!this.isUsable) throw noConnectionError(this.instance.name);
    const idle = this.takeIdle();
    if (idle !== undefined) return idle;
    const waitMs = Math.min(deadlineMs, ACQUIRE_TIMEOUT_MS);
    const connection = this.waiting.enqueue(waitMs);
    this.openNeededConnections();
    return connection;
  }

  /** Returns a clean or closed connection to the pool. */
  release(connection: UpstreamConnection): void {
    if (!connection.isOpen || this.isStopped) {
      void connection.close();
      return;
    }
    if (this.waiting.serveNext(connection)) return;
    this.idle.push({connection, usedAtMs: performance.now()});
  }

  /**
   * Applies the connection count that the instance reported.
   *
   * @param status - Status reported by the instance.
   * @param sentAtMs - When the probe was sent, in milliseconds.
   */
  applyStatus(status: InstanceStatus, sentAtMs: number): void {
    if (this.accounting.unconfirmedCloses === 0) return;
    const counted = countClientConnections(status, this.connector.clientName);
    this.accounting.applyInstanceCount(counted, sentAtMs);
    this.openNeededConnections();
  }

  /** Closes the idle connections; the others close when they are released. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.housekeepingTimer);
    this.waiting.rejectAll();
    const connections = this.idle.splice(0).map(({connection}) => connection);
    await Promise.all(connections.map(connection => connection.close()));
  }

  /** Takes the most recently used connection, so that the others stay idle. */
  private takeIdle(): UpstreamConnection | undefined {
    let idle = this.idle.pop();
    while (idle !== undefined && !idle.connection.isOpen) {
      idle = this.idle.pop();
    }
    return idle?.connection;
  }

  /** Opens a watch connection, or takes a free connection from the pool. */
  private async acquireWatchConnection(): Promise<UpstreamConnection> {
    const {accounting} = this;
    if (accounting.used < this.limit) return this.open();
    const idle = this.takeIdle();
    if (idle !== undefined) return idle;
    if (accounting.live > 0) return this.acquire(OPEN_TIMEOUT_MS);
    return this.openRecoveryConnection();
  }

  /**
   * Opens one connection although closed ones that the instance may still
   * count fill the share: their end can only be observed over a connection. It
   * is taken from the reserved part of the share, and the instance refuses it
   * at the owner's limit.
   */
  private async openRecoveryConnection(): Promise<UpstreamConnection> {
    const nowMs = performance.now();
    if (nowMs < this.nextRecoveryAtMs)
      throw noConnectionError(this.instance.name);
    this.nextRecoveryAtMs = nowMs + RECOVERY_INTERVAL_MS;
    return this.open();
  }

  /** Statement connections that are open or being opened. */
  private get liveStatementConnections(): number {
    return this.accounting.live - (this.hasWatchConnection ? 1 : 0);
  }

  private get hasWatchConnection(): boolean {
    return this.watchConnection?.isOpen === true;
  }

  /** Opens spare connections, and connections for waiting requests. */
  private openNeededConnections(): void {
    while (this.canOpenConnection() && this.needsConnection()) {
      this.openAndRelease().catch(() => undefined);
    }
  }

  /** Whether the share has room for one more statement connection. */
  private canOpenConnection(): boolean {
    if (this.isStopped || performance.now() < this.nextOpenAtMs) return false;
    if (this.liveStatementConnections >= this.statementLimit) return false;
    const watchReserve = this.hasWatchConnection ? 0 : 1;
    return this.accounting.used + watchReserve < this.limit;
  }

  private needsConnection(): boolean {
    const targetCount = this.instance.slots + SPARE_CONNECTIONS;
    return this.liveStatementConnections < targetCount || this.waiting.size > 0;
  }

  private async openAndRelease(): Promise<void> {
    try {
      this.release(await this.open());
    } catch (error) {
      this.nextOpenAtMs = performance.now() + RECONNECT_DELAY_MS;
      throw error;
    }
  }

  private async open(): Promise<UpstreamConnection> {
    const {accounting} = this;
    accounting.beginOpening();
    try {
      const connection = await this.connector.open(
        this.instance,
        OPEN_TIMEOUT_MS,
      );
      return this.track(connection);
    } catch (error) {
      accounting.failedOpening(isConnectionRefused(error), performance.now());
      throw error;
    }
  }

  /** Counts an opened connection until it is closed. */
  private track(connection: UpstreamConnection): UpstreamConnection {
    const {accounting} = this;
    accounting.opened(connection, performance.now());
    connection.closed$.subscribe(() =>
      accounting.closed(connection, performance.now()),
    );
    return connection;
  }

  /** Detects unresponsive idle connections before a request uses them. */
  private runHousekeeping(): void {
    this.openNeededConnections();
    const probeBeforeMs = performance.now() - PROBE_DELAY_MS;
    const dueIndex = this.idle.findIndex(
      ({usedAtMs}) => usedAtMs < probeBeforeMs,
    );
    if (dueIndex < 0) return;
    const [idle] = this.idle.splice(dueIndex, 1);
    if (idle !== undefined) void this.probe(idle.connection);
  }

  private async probe(connection: UpstreamConnection): Promise<void> {
    const request = {after: EMPTY_POSITION, grantedTerm: 0, timeoutMs: 0};
    try {
      const sentAtMs = performance.now();
      const status = await connection.watch(request, PROBE_TIMEOUT_MS);
      this.applyStatus(status, sentAtMs);
    } catch {
      await connection.close();
    } finally {
      this.release(connection);
    }
  }
}
