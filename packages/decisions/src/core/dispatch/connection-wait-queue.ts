/** One request that waits for a connection. */
export interface WaitingRequest {
  /** Urgency declared by the operator; 0 is the most urgent. */
  readonly priority: number;
  /** Deadline, in milliseconds of the process clock. */
  readonly deadlineMs: number;
}

/** A request was refused, with its expected wait and a retry delay. */
export interface QueueRefusal {
  /** How long the request would have waited, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Delay before the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Capacity of the connections that serve the queue. */
export interface ConnectionCapacity {
  /** Number of connections. */
  readonly connections: number;
  /** Smoothed time that a request holds a connection, in milliseconds. */
  readonly holdingMs: number;
}

/** Maximum queue length regardless of deadlines; bounds memory. */
const MAXIMUM_WAITING = 500;

/** Minimum delay before a refused caller retries, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 50;

/**
 * Queue of requests that wait for a connection to one instance.
 *
 * Designed for bursts of requests on few connections: requests are served by
 * priority, then by deadline. A request that could not be served before its
 * deadline is refused when it is offered, so that its caller can try elsewhere at
 * once.
 */
export class ConnectionWaitQueue<Request extends WaitingRequest> {
  private readonly waiting: Request[] = [];

  /** Number of queued requests. */
  get length(): number {
    return this.waiting.length;
  }

  /**
   * Queues a request, or refuses it if it cannot be served in time.
   *
   * @param request - The request.
   * @param capacity - Capacity of the connections that serve the queue.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns The refusal, or undefined if the request was queued.
   */
  offer(
    request: Request,
    capacity: ConnectionCapacity,
    nowMs: number,
  ): QueueRefusal | undefined {
    const index = this.insertionIndex(request);
    const expectedWaitMs = estimateWaitMs(index, capacity);
    const isTooLate = nowMs + expectedWaitMs > request.deadlineMs;
    if (isTooLate || this.waiting.length >= MAXIMUM_WAITING) {
      return {
        expectedWaitMs,
        retryAfterMs: Math.max(MINIMUM_RETRY_AFTER_MS, expectedWaitMs),
      };
    }
    this.waiting.splice(index, 0, request);
    return undefined;
  }

  /** Removes and returns the next request. */
  take(): Request | undefined {
    return this.waiting.shift();
  }

  /**
   * Removes a request whose caller has disconnected.
   *
   * @returns Whether the request was queued.
   */
  remove(request: Request): boolean {
    const index = this.waiting.indexOf(request);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    return true;
  }

  /**
   * Removes the requests whose deadline has passed.
   *
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns The removed requests.
   */
  removeExpired(nowMs: number): Request[] {
    const expired = this.waiting.filter(({deadlineMs}) => deadlineMs <= nowMs);
    for (const request of expired) this.remove(request);
    return expired;
  }

  /** Removes every request, for example because the instance was removed. */
  removeAll(): Request[] {
    return this.waiting.splice(0);
  }

  private insertionIndex(request: Request): number {
    const index = this.waiting.findIndex(other => precedes(request, other));
    return index < 0 ? this.waiting.length : index;
  }
}

/** Returns whether the left request is served before the right one. */
function precedes(left: WaitingRequest, right: WaitingRequest): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.deadlineMs < right.deadlineMs;
}

/** Estimates the time until the request at an index gets a connection. */
function estimateWaitMs(index: number, capacity: ConnectionCapacity): number {
  const connections = Math.max(1, capacity.connections);
  return ((index + 1) * capacity.holdingMs) / connections;
}
