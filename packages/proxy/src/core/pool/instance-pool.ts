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

/** How long opening a connection may take, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;

/** Wait before another attempt to open a connection, in milliseconds. */
const RECONNECT_DELAY_MS = 200;

/** Time between two looks at the idle connections, in milliseconds. */
const HOUSEKEEPING_INTERVAL_MS = 500;

/** Time between two connections opened past a full share, in milliseconds. */
const RECOVERY_INTERVAL_MS = 5_000;

/** An idle connection is probed after this time without use. */
const PROBE_DELAY_MS = 3_000;

/** A probe without an answer for this long closes the connection. */
const PROBE_TIMEOUT_MS = 1_000;

/** Connections kept open beyond one for each slot. */
const SPARE_CONNECTIONS = 1;

/**
 * Part of a share that is opened only while closed connections still count:
 * one to watch with and one for statements when all others went silent at once.
 */
const REPLACEMENT_RESERVE = 2;

/** Fewest connections for statements, whatever the share. */
const MINIMUM_STATEMENT_CONNECTIONS = 1;

/** Longest wait for a connection after admission, in milliseconds. */
const ACQUIRE_TIMEOUT_MS = 500;

/** An idle connection with the time of its last use, in milliseconds. */
interface IdleConnection {
  readonly connection: UpstreamConnection;
  readonly usedAtMs: number;
}

/** The connections of this process to one instance. */
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
   * @param instance - The instance.
   * @param connector - Opens connections.
   * @param limit - Most connections, the one for watching included.
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

  /** Connections that use up the share, without the reserved one. */
  get connections(): number {
    return (
      this.accounting.used - (this.watchConnection?.isOpen === true ? 1 : 0)
    );
  }

  /**
   * Changes how many connections there may be; surplus idle ones are closed.
   *
   * @param limit - Most connections, the one for watching included.
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

  /** Most connections for statements. */
  get statementLimit(): number {
    const spare = this.limit - 1 - REPLACEMENT_RESERVE;
    return Math.max(MINIMUM_STATEMENT_CONNECTIONS, spare);
  }

  /** Whether a connection for statements is open or could be opened now. */
  get isUsable(): boolean {
    if (this.isStopped) return false;
    return this.liveStatementConnections > 0 || this.canOpenConnection();
  }

  /**
   * Gives the connection that is kept for watching. Where the share has no
   * room for a new one, a connection for statements takes this place.
   */
  async openWatchConnection(): Promise<UpstreamConnection> {
    this.watchConnection = await this.acquireWatchConnection();
    this.openNeededConnections();
    return this.watchConnection;
  }

  /**
   * Takes a connection for one request or transaction.
   *
   * @param deadlineMs - How long to wait for one, in milliseconds.
   * @throws SapphiregladeError of kind `no-connection` if none came free.
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

  /** Gives back a clean connection, or a closed one. */
  release(connection: UpstreamConnection): void {
    if (!connection.isOpen || this.isStopped) {
      void connection.close();
      return;
    }
    if (this.waiting.serveNext(connection)) return;
    this.idle.push({connection, usedAtMs: performance.now()});
  }

  /**
   * Takes the instance's own count of connections in.
   *
   * @param status - What the instance told.
   * @param sentAtMs - When the probe was sent, in milliseconds.
   */
  applyStatus(status: InstanceStatus, sentAtMs: number): void {
    if (this.accounting.unconfirmedCloses === 0) return;
    const counted = countClientConnections(status, this.connector.clientName);
    this.accounting.applyInstanceCount(counted, sentAtMs);
    this.openNeededConnections();
  }

  /** Closes the idle connections; the others close when given back. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.housekeepingTimer);
    this.waiting.rejectAll();
    const connections = this.idle.splice(0).map(({connection}) => connection);
    await Promise.all(connections.map(connection => connection.close()));
  }

  /** Uses the connection that was given back last, so that others rest. */
  private takeIdle(): UpstreamConnection | undefined {
    let idle = this.idle.pop();
    while (idle !== undefined && !idle.connection.isOpen) {
      idle = this.idle.pop();
    }
    return idle?.connection;
  }

  /** Opens the connection for watching, or takes one that is free. */
  private async acquireWatchConnection(): Promise<UpstreamConnection> {
    const {accounting: ledger} = this;
    if (ledger.used < this.limit) return this.open();
    const idle = this.takeIdle();
    if (idle !== undefined) return idle;
    if (ledger.live > 0) return this.acquire(OPEN_TIMEOUT_MS);
    return this.openRecoveryConnection();
  }

  /**
   * Opens one connection although closed ones that the instance may still
   * count fill the share: only a connection can show that they are gone. It
   * comes out of the share that is kept back, and the instance itself refuses
   * it at the owner's limit.
   */
  private async openRecoveryConnection(): Promise<UpstreamConnection> {
    const nowMs = performance.now();
    if (nowMs < this.nextRecoveryAtMs)
      throw noConnectionError(this.instance.name);
    this.nextRecoveryAtMs = nowMs + RECOVERY_INTERVAL_MS;
    return this.open();
  }

  /** Connections for statements that are open or being opened. */
  private get liveStatementConnections(): number {
    return this.accounting.live - (this.hasWatchConnection ? 1 : 0);
  }

  private get hasWatchConnection(): boolean {
    return this.watchConnection?.isOpen === true;
  }

  /** Opens connections ahead of need, and for those who wait. */
  private openNeededConnections(): void {
    while (this.canOpenConnection() && this.needsConnection()) {
      this.openAndRelease().catch(() => undefined);
    }
  }

  /** Whether the share has room for one more connection for statements. */
  private canOpenConnection(): boolean {
    if (this.isStopped || performance.now() < this.nextOpenAtMs) return false;
    if (this.liveStatementConnections >= this.statementLimit) return false;
    const forWatching = this.hasWatchConnection ? 0 : 1;
    return this.accounting.used + forWatching < this.limit;
  }

  private needsConnection(): boolean {
    const wanted = this.instance.slots + SPARE_CONNECTIONS;
    return this.liveStatementConnections < wanted || this.waiting.size > 0;
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
    const {accounting: ledger} = this;
    ledger.beginOpening();
    try {
      const connection = await this.connector.open(
        this.instance,
        OPEN_TIMEOUT_MS,
      );
      return this.track(connection);
    } catch (error) {
      ledger.failedOpening(isConnectionRefused(error), performance.now());
      throw error;
    }
  }

  /** Counts a connection that has opened until it is closed. */
  private track(connection: UpstreamConnection): UpstreamConnection {
    const {accounting: ledger} = this;
    ledger.opened(connection, performance.now());
    connection.closed$.subscribe(() =>
      ledger.closed(connection, performance.now()),
    );
    return connection;
  }

  /** Finds silent connections before a caller does. */
  private runHousekeeping(): void {
    this.openNeededConnections();
    const rested = performance.now() - PROBE_DELAY_MS;
    const due = this.idle.findIndex(({usedAtMs}) => usedAtMs < rested);
    if (due < 0) return;
    const [idle] = this.idle.splice(due, 1);
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
