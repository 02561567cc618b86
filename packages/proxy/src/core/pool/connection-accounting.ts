import type {InstanceStatus} from '@sapphireglade/protocol';

/**
 * Counts the connections that use up a share.
 *
 * The instance may still count a connection that this process has closed,
 * because the close can arrive late or be lost. Such a connection uses up the
 * share until a count reported by the instance no longer includes it.
 */
export class ConnectionAccounting {
  /** When each open connection was opened, in milliseconds. */
  private readonly openedAtMs = new Map<object, number>();
  private openingCount = 0;
  private unconfirmedCloseCount = 0;
  private lastClosedAtMs = -Infinity;

  /** Connections that are open or being opened. */
  get live(): number {
    return this.openedAtMs.size + this.openingCount;
  }

  /** Connections that the instance may count, unconfirmed closes included. */
  get used(): number {
    return this.live + this.unconfirmedCloseCount;
  }

  /** Connections closed by this process that the instance may still count. */
  get unconfirmedCloses(): number {
    return this.unconfirmedCloseCount;
  }

  /** Records that this process starts to open a connection. */
  beginOpening(): void {
    this.openingCount += 1;
  }

  /** Records that a connection has been opened. */
  opened(connection: object, nowMs: number): void {
    this.openingCount -= 1;
    this.openedAtMs.set(connection, nowMs);
  }

  /**
   * Records that a connection could not be opened.
   *
   * @param isRefused - Whether the remote end refused it. Otherwise the
   *   instance may still count it.
   */
  failedOpening(isRefused: boolean, nowMs: number): void {
    this.openingCount -= 1;
    if (!isRefused) this.addUnconfirmedClose(nowMs);
  }

  /** Records that either end closed an open connection. */
  closed(connection: object, nowMs: number): void {
    if (this.openedAtMs.delete(connection)) this.addUnconfirmedClose(nowMs);
  }

  /**
   * Applies the connection count that the instance reported. A count from a
   * probe sent before the last close is ignored: the instance may have taken
   * it before it counted the closed connection.
   *
   * @param counted - Connections of this process that the instance counts.
   * @param sentAtMs - When the probe that returned the count was sent.
   */
  applyInstanceCount(counted: number, sentAtMs: number): void {
    if (this.unconfirmedCloseCount === 0 || sentAtMs <= this.lastClosedAtMs)
      return;
    const openAtProbe = [...this.openedAtMs.values()].filter(
      openedAtMs => openedAtMs <= sentAtMs,
    ).length;
    this.unconfirmedCloseCount = Math.min(
      this.unconfirmedCloseCount,
      Math.max(0, counted - openAtProbe),
    );
  }

  private addUnconfirmedClose(nowMs: number): void {
    this.unconfirmedCloseCount += 1;
    this.lastClosedAtMs = nowMs;
  }
}

/** Returns the number of one client's connections in an instance status. */
export function countClientConnections(
  status: InstanceStatus,
  client: string,
): number {
  return Object.hasOwn(status.connectionsByClient, client)
    ? (status.connectionsByClient[client] ?? 0)
    : 0;
}
