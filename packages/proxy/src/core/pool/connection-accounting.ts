import type {InstanceStatus} from '@sapphireglade/protocol';

/**
 * Counts the connections that use up a share.
 *
 * A connection that was closed here may still be open at the instance: its
 * end may not have arrived, or never will. It counts until the instance's own
 * count shows that it is gone.
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

  /** Connections that the instance may count. */
  get used(): number {
    return this.live + this.unconfirmedCloseCount;
  }

  /** Connections that are closed here, but perhaps not at the instance. */
  get unconfirmedCloses(): number {
    return this.unconfirmedCloseCount;
  }

  /** A connection is being opened. */
  beginOpening(): void {
    this.openingCount += 1;
  }

  /** A connection that was being opened is open. */
  opened(connection: object, nowMs: number): void {
    this.openingCount -= 1;
    this.openedAtMs.set(connection, nowMs);
  }

  /**
   * A connection could not be opened.
   *
   * @param isRefused - Whether the other end refused it; otherwise the
   *   instance may still count it.
   */
  failedOpening(isRefused: boolean, nowMs: number): void {
    this.openingCount -= 1;
    if (!isRefused) this.addUnconfirmedClose(nowMs);
  }

  /** An open connection was closed, by either end. */
  closed(connection: object, nowMs: number): void {
    if (this.openedAtMs.delete(connection)) this.addUnconfirmedClose(nowMs);
  }

  /**
   * Takes the instance's own count in.
   *
   * @param counted - Connections of this process that the instance counts.
   * @param sentAtMs - When the probe that showed this was sent.
   */
  applyInstanceCount(counted: number, sentAtMs: number): void {
    if (this.unconfirmedCloseCount === 0 || sentAtMs <= this.lastClosedAtMs)
      return;
    const certain = [...this.openedAtMs.values()].filter(
      openedAtMs => openedAtMs <= sentAtMs,
    ).length;
    this.unconfirmedCloseCount = Math.min(
      this.unconfirmedCloseCount,
      Math.max(0, counted - certain),
    );
  }

  private addUnconfirmedClose(nowMs: number): void {
    this.unconfirmedCloseCount += 1;
    this.lastClosedAtMs = nowMs;
  }
}

/** Reads the count of one client's connections from a status. */
export function countClientConnections(
  status: InstanceStatus,
  client: string,
): number {
  return Object.hasOwn(status.connectionsByClient, client)
    ? (status.connectionsByClient[client] ?? 0)
    : 0;
}
