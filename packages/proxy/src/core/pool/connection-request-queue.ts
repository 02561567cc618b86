import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {UpstreamConnection} from '../upstream/index.js';

/** Advised retry delay when no connection was free, in milliseconds. */
const RETRY_AFTER_MS = 200;

/** A request that waits for a connection. */
interface Waiter {
  readonly resolve: (connection: UpstreamConnection) => void;
  readonly reject: (error: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** FIFO queue of the requests that wait for a connection to one instance. */
export class ConnectionRequestQueue {
  private readonly waiters = new Set<Waiter>();

  /** @param instance - Name of the instance, for errors. */
  constructor(private readonly instance: string) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.waiters.size;
  }

  /**
   * Waits for a connection.
   *
   * @param deadlineMs - Longest wait, in milliseconds.
   * @throws SapphiregladeError of kind `no-connection` after that time.
   */
  enqueue(deadlineMs: number): Promise<UpstreamConnection> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.waiters.delete(waiter);
        reject(noConnectionError(this.instance));
      }, deadlineMs);
      const waiter: Waiter = {resolve, reject, timer};
      this.waiters.add(waiter);
    });
  }

  /**
   * Passes a connection to the request that has waited longest.
   *
   * @returns False if no request waits.
   */
  serveNext(connection: UpstreamConnection): boolean {
    const [waiter] = this.waiters;
    if (waiter === undefined) return false;
    this.remove(waiter);
    waiter.resolve(connection);
    return true;
  }

  /** Rejects all waiting requests with a `no-connection` error. */
  rejectAll(): void {
    for (const waiter of [...this.waiters]) {
      this.remove(waiter);
      waiter.reject(noConnectionError(this.instance));
    }
  }

  private remove(waiter: Waiter): void {
    clearTimeout(waiter.timer);
    this.waiters.delete(waiter);
  }
}

/** Creates the error for an unavailable connection; nothing was sent. */
export function noConnectionError(instance: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoConnection,
    `No connection to ${instance} came free in time.`,
    {outcome: Outcome.NotRun, retryAfterMs: RETRY_AFTER_MS},
  );
}
