import {ConcurrencyLimit} from './concurrency-limit.js';
import {FairQueue} from './fair-queue.js';
import type {
  AdmissionDecision,
  AdmissionEffects,
  AdmissionRequest,
  ExecutionTiming,
  RefuseAdmissionDecision,
} from './types.js';

/** Longest time in the queue, whatever the deadline, in milliseconds. */
const MAXIMUM_WAIT_MS = 500;

/** Shortest time after which a refused caller comes back, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Weight of one offer in the smoothed share of refusals. */
const REFUSAL_RATE_WEIGHT = 0.02;

/** Highest share of refusals that lengthens the time to come back. */
const MAXIMUM_REFUSAL_RATE = 0.95;

/** Smallest factor by which the time to come back is spread; the largest is one more. */
const MINIMUM_JITTER_FACTOR = 0.5;

/**
 * Decides what runs at one instance, what waits and what is refused.
 *
 * A request that cannot be served before its deadline is refused when it is
 * offered, or as soon as that becomes clear. Callers share the queue by
 * weight, and reads and writes take turns.
 */
export class AdmissionQueue {
  private readonly limit: ConcurrencyLimit;
  private readonly queues = {read: new FairQueue(), write: new FairQueue()};
  private running = 0;
  private nextAccess: 'read' | 'write' = 'write';
  private refusalRate = 0;

  /** @param maximumRunning - Most statements in flight at the instance. */
  constructor(maximumRunning: number) {
    this.limit = new ConcurrencyLimit(maximumRunning);
  }

  /** How many requests wait. */
  get waiting(): number {
    return this.queues.read.length + this.queues.write.length;
  }

  /** How many requests run. */
  get inFlight(): number {
    return this.running;
  }

  /** How many requests may run. */
  get concurrency(): number {
    return this.limit.value;
  }

  /** Expected time from sending to the answer, in milliseconds. */
  get durationMs(): number {
    return this.limit.durationMs;
  }

  /** Changes how many connections there are for statements. */
  setMaximumRunning(maximum: number): void {
    this.limit.setMaximum(maximum);
  }

  /** Expected time in the queue for a new request, in milliseconds. */
  estimateWaitMs(
    request: Pick<AdmissionRequest, 'caller' | 'weight' | 'access'>,
  ): number {
    if (this.running < this.limit.value && this.waiting === 0) return 0;
    const {caller, weight, access} = request;
    const ahead = this.queues[access].countAhead(caller, weight);
    const other = this.queues[access === 'read' ? 'write' : 'read'].length;
    const turns = ahead + 1 + Math.min(other, ahead + 1);
    return (turns * this.limit.durationMs) / this.limit.value;
  }

  /**
   * Offers a request.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   * @param random - A number from 0 up to 1 that spreads returning callers.
   */
  offer(
    request: AdmissionRequest,
    nowMs: number,
    random: number,
  ): AdmissionDecision {
    const expectedWaitMs = this.estimateWaitMs(request);
    const leftMs = request.deadlineAtMs - nowMs - this.limit.durationMs;
    if (expectedWaitMs > Math.min(leftMs, MAXIMUM_WAIT_MS) || leftMs < 0) {
      const reason = leftMs < 0 ? 'deadline' : 'overloaded';
      return this.refuse(reason, random);
    }
    this.updateRefusalRate(false);
    if (this.running < this.limit.value && this.waiting === 0) {
      this.running += 1;
      return {action: 'start'};
    }
    this.queues[request.access].push(request);
    return {action: 'queue', expectedWaitMs};
  }

  /** Takes in that a request that had started has ended. */
  finish(work: ExecutionTiming | undefined, nowMs: number): AdmissionEffects {
    const isFull = this.running >= this.limit.value;
    if (work !== undefined) this.limit.recordCompletion(work, isFull);
    this.running -= 1;
    return this.advance(nowMs);
  }

  /** Gives the requests that can start or can no longer be served in time. */
  advance(nowMs: number): AdmissionEffects {
    const expire = this.expire(nowMs);
    const start: AdmissionRequest[] = [];
    while (this.running < this.limit.value) {
      const request = this.takeNext();
      if (request === undefined) break;
      this.running += 1;
      start.push(request);
    }
    return {start, expire};
  }

  /** Takes out a queued request whose caller has gone. */
  cancel(id: string): boolean {
    const isCancelled = (request: AdmissionRequest): boolean =>
      request.id === id;
    const queues = Object.values(this.queues);
    return queues.some(queue => queue.removeWhere(isCancelled).length > 0);
  }

  /** Says when a caller that is refused now should come back. */
  computeRetryAfterMs(random: number): number {
    const backlogMs = (this.waiting * this.limit.durationMs) / this.limit.value;
    const baseMs = Math.max(MINIMUM_RETRY_AFTER_MS, backlogMs);
    const pressure = Math.min(this.refusalRate, MAXIMUM_REFUSAL_RATE);
    const spread = MINIMUM_JITTER_FACTOR + random;
    return Math.ceil((baseMs * spread) / (1 - pressure));
  }

  private refuse(
    reason: RefuseAdmissionDecision['reason'],
    random: number,
  ): RefuseAdmissionDecision {
    this.updateRefusalRate(true);
    return {
      action: 'refuse',
      reason,
      retryAfterMs: this.computeRetryAfterMs(random),
    };
  }

  private updateRefusalRate(isRefused: boolean): void {
    const sample = isRefused ? 1 : 0;
    this.refusalRate += REFUSAL_RATE_WEIGHT * (sample - this.refusalRate);
  }

  private expire(nowMs: number): readonly AdmissionRequest[] {
    if (this.waiting === 0) return [];
    const latestMs = nowMs + this.limit.durationMs;
    const isLate = (request: AdmissionRequest): boolean =>
      request.deadlineAtMs < latestMs;
    return Object.values(this.queues).flatMap(queue =>
      queue.removeWhere(isLate),
    );
  }

  private takeNext(): AdmissionRequest | undefined {
    const turn = this.nextAccess;
    const other = turn === 'read' ? 'write' : 'read';
    const request = this.queues[turn].shift();
    if (request === undefined) return this.queues[other].shift();
    this.nextAccess = other;
    return request;
  }
}
