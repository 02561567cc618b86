import type {AdmissionRequest} from './types.js';

/** The queued requests of one caller. */
interface CallerQueue {
  readonly requests: AdmissionRequest[];
  /** Virtual start time of the first request. */
  startTag: number;
}

/**
 * A queue that is shared among callers by weight.
 *
 * Source: Goyal, Vin and Cheng, "Start-time fair queuing", 1997.
 */
export class FairQueue {
  private readonly callers = new Map<string, CallerQueue>();
  /** Virtual finish times of removed callers, so that leaving brings no advantage. */
  private readonly finishTags = new Map<string, number>();
  private virtualTime = 0;
  private count = 0;

  /** Number of queued requests. */
  get length(): number {
    return this.count;
  }

  /** Appends a request after those of the same caller. */
  push(request: AdmissionRequest): void {
    const queue = this.callers.get(request.caller);
    this.count += 1;
    if (queue !== undefined) {
      queue.requests.push(request);
      return;
    }
    const startTag = this.startTagOf(request.caller);
    this.callers.set(request.caller, {requests: [request], startTag});
  }

  /** Removes and returns the request that is next. */
  shift(): AdmissionRequest | undefined {
    const next = this.nextCaller();
    if (next === undefined) return undefined;
    const [caller, queue] = next;
    const request = queue.requests.shift();
    if (request === undefined) return undefined;
    this.count -= 1;
    this.virtualTime = queue.startTag;
    queue.startTag += 1 / request.weight;
    if (queue.requests.length === 0) this.removeCaller(caller, queue.startTag);
    return request;
  }

  /**
   * Counts the queued requests that would be served before a new one.
   *
   * @param caller - Name of the caller of the new request.
   * @param weight - Weight of that caller.
   */
  countAhead(caller: string, weight: number): number {
    const own = this.callers.get(caller);
    const ownLength = own?.requests.length ?? 0;
    const ownTag = own?.startTag ?? this.startTagOf(caller);
    const startTag = ownTag + ownLength / weight;
    let ahead = ownLength;
    for (const [name, queue] of this.callers) {
      if (name !== caller) ahead += countBefore(queue, startTag);
    }
    return ahead;
  }

  /** Removes and returns every request that matches a predicate. */
  removeWhere(
    predicate: (request: AdmissionRequest) => boolean,
  ): AdmissionRequest[] {
    const removed: AdmissionRequest[] = [];
    for (const [caller, queue] of [...this.callers]) {
      const matching = queue.requests.filter(predicate);
      if (matching.length === 0) continue;
      removed.push(...matching);
      const kept = queue.requests.filter(
        request => !matching.includes(request),
      );
      queue.requests.splice(0, queue.requests.length, ...kept);
      if (kept.length === 0) this.removeCaller(caller, queue.startTag);
    }
    this.count -= removed.length;
    return removed;
  }

  private startTagOf(caller: string): number {
    return Math.max(this.virtualTime, this.finishTags.get(caller) ?? 0);
  }

  private removeCaller(caller: string, finishTag: number): void {
    this.callers.delete(caller);
    this.finishTags.set(caller, finishTag);
    if (this.callers.size > 0) return;
    this.finishTags.clear();
    this.virtualTime = 0;
  }

  private nextCaller(): [string, CallerQueue] | undefined {
    let next: [string, CallerQueue] | undefined;
    for (const entry of this.callers) {
      const isEarlier =
        next === undefined || entry[1].startTag < next[1].startTag;
      if (isEarlier) next = entry;
    }
    return next;
  }
}

/** Counts the requests of a caller that start before a virtual time. */
function countBefore(queue: CallerQueue, startTag: number): number {
  const weight = queue.requests[0]?.weight ?? 1;
  const startingBefore = Math.ceil((startTag - queue.startTag) * weight);
  return Math.min(queue.requests.length, Math.max(0, startingBefore));
}
