import type {UpstreamConnection} from '../upstream/index.js';

/** Sends one control request over a connection. */
type SendControlRequest<Answer> = (
  connection: UpstreamConnection,
  timeoutMs: number,
) => Promise<Answer>;

/** A request that waits for the connection. */
interface QueuedControlRequest {
  readonly run: SendControlRequest<void>;
  readonly fail: (error: Error) => void;
}

/** FIFO queue of control requests that share one connection. */
export class ControlRequestQueue {
  private readonly waiting: QueuedControlRequest[] = [];

  /** Adds a request to the queue; resolves with its answer. */
  add<Answer>(send: SendControlRequest<Answer>): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const run: SendControlRequest<void> = (connection, timeoutMs) =>
        send(connection, timeoutMs).then(resolve, reject);
      this.waiting.push({run, fail: reject});
    });
  }

  /**
   * Sends the oldest request and waits until it is settled.
   *
   * @returns Whether a request was queued.
   */
  async sendNext(
    connection: UpstreamConnection,
    timeoutMs: number,
  ): Promise<boolean> {
    const next = this.waiting.shift();
    if (next === undefined) return false;
    await next.run(connection, timeoutMs);
    return true;
  }

  /** Rejects every queued request; none of them was sent. */
  rejectAll(error: Error): void {
    for (const {fail} of this.waiting.splice(0)) fail(error);
  }
}
