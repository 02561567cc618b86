import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {UpstreamConnection} from '../upstream/index.js';

/** When a caller should come back if no connection was free. */
const RETRY_AFTER_MS = 200;

/** A request that waits for a connection. */
interface Waiter {
  readonly resolve: (connection: UpstreamConnection) => void;
  readonly reject: (error: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** The requests that wait for a connection to one instance, first come first. */
export class ConnectionRequestQueue {
  private readonly waiters = new Set<Waiter>();

  /** @param instance - Name of the instance, for errors. */
  constructor(private readonly instance: string) {}

  /** How many wait. */
  get size(): number {
    return this.waiters.size;
  }

  /**
   * Waits for a connection.
   *
   * @param deadlineMs - How long, in milliseconds.
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
   * Gives a connection to the one that has waited longest.
   *
   * @returns False if nobody waits.
   */
  serveNext(connection: UpstreamConnection): boolean {
    const [waiter] = this.waiters;
    if (waiter === undefined) return false;
    this.remove(waiter);
    waiter.resolve(connection);
    return true;
  }

  /** Refuses everyone. */
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

/** No connection to an instance is to be had; nothing was sent. */
export function noConnectionError(instance: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoConnection,
    `No connection to ${instance} came free in time.`,
    {outcome: Outcome.NotRun, retryAfterMs: RETRY_AFTER_MS},
  );
}
