/** One request that waits for a connection. */
export interface WaitingRequest {
  /** Urgency declared by the operator; 0 is the most urgent. */
  readonly priority: number;
  /** Until when it is worth running, in milliseconds of the process clock. */
  readonly deadlineMs: number;
}

/** Why a request is not queued, and when its caller should come back. */
export interface QueueRefusal {
  /** How long the request would have waited, in milliseconds. */
  readonly expectedWaitMs: number;
  /** When to come back, in milliseconds from now. */
  readonly retryAfterMs: number;
}

/** What the queue knows of the connections that it feeds. */
export interface ConnectionCapacity {
  /** Connections that serve the queue. */
  readonly connections: number;
  /** Smoothed time for which a request holds one, in milliseconds. */
  readonly holdingMs: number;
}

/** Longest queue, whatever the deadlines; bounds memory. */
const MAXIMUM_WAITING = 500;

/** Shortest time after which a refused caller comes back, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 50;

/**
 * Requests that wait for a connection to one instance.
 *
 * Answers the load pattern of bursts before few connections: the most urgent
 * goes first, equals in order of their deadline, and a request that could not
 * be served before its deadline is refused when it is offered, so that its
 * caller can go elsewhere at once.
 */
export class ConnectionWaitQueue<Request extends WaitingRequest> {
  private readonly waiting: Request[] = [];

  /** How many requests wait. */
  get length(): number {
    return this.waiting.length;
  }

  /**
   * Queues a request, or says why that is of no use.
   *
   * @param request - The request.
   * @param supply - What serves the queue.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns The refusal, or nothing if the request was queued.
   */
  offer(
    request: Request,
    supply: ConnectionCapacity,
    nowMs: number,
  ): QueueRefusal | undefined {
    const index = this.insertionIndex(request);
    const expectedWaitMs = estimateWaitMs(index, supply);
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

  /** Takes the request that goes next. */
  take(): Request | undefined {
    return this.waiting.shift();
  }

  /**
   * Removes a request whose caller has left.
   *
   * @returns Whether it was waiting.
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
    const late = this.waiting.filter(({deadlineMs}) => deadlineMs <= nowMs);
    for (const request of late) this.remove(request);
    return late;
  }

  /** Removes every request, for example because the instance has gone. */
  removeAll(): Request[] {
    return this.waiting.splice(0);
  }

  private insertionIndex(request: Request): number {
    const index = this.waiting.findIndex(other => precedes(request, other));
    return index < 0 ? this.waiting.length : index;
  }
}

/** Says whether the left request goes before the right one. */
function precedes(left: WaitingRequest, right: WaitingRequest): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.deadlineMs < right.deadlineMs;
}

/** Time until the request at this place of the queue gets a connection. */
function estimateWaitMs(index: number, supply: ConnectionCapacity): number {
  const connections = Math.max(1, supply.connections);
  return ((index + 1) * supply.holdingMs) / connections;
}
