import {ConcurrencyLimit} from './concurrency-limit.js';
import {FairQueue} from './fair-queue.js';
import type {
  AdmissionDecision,
  AdmissionEffects,
  AdmissionRequest,
  ExecutionTiming,
  RefuseAdmissionDecision,
} from './types.js';

/** Maximum time in the queue regardless of the deadline, in milliseconds. */
const MAXIMUM_WAIT_MS = 500;

/** Minimum delay before a refused caller retries, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Weight of one offer in the smoothed refusal rate. */
const REFUSAL_RATE_WEIGHT = 0.02;

/** Upper limit of the refusal rate in the computation of the retry delay. */
const MAXIMUM_REFUSAL_RATE = 0.95;

/** Minimum jitter factor of the retry delay; the maximum is one higher. */
const MINIMUM_JITTER_FACTOR = 0.5;

/**
 * Admission control for one instance: starts, queues or refuses requests.
 *
 * A request that cannot be served before its deadline is refused when it is
 * offered, or expires as soon as its deadline becomes unreachable. Callers share
 * the queue by weight, and reads and writes alternate.
 */
export class AdmissionQueue {
  private readonly limit: ConcurrencyLimit;
  private readonly queues = {read: new FairQueue(), write: new FairQueue()};
  private running = 0;
  private nextAccess: 'read' | 'write' = 'write';
  private refusalRate = 0;

  /** @param maximumRunning - Maximum number of statements in flight at the instance. */
  constructor(maximumRunning: number) {
    this.limit = new ConcurrencyLimit(maximumRunning);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.queues.read.length + this.queues.write.length;
  }

  /** Number of running requests. */
  get inFlight(): number {
    return this.running;
  }

  /** Current limit of running requests. */
  get concurrency(): number {
    return this.limit.value;
  }

  /** Expected time from sending to the answer, in milliseconds. */
  get durationMs(): number {
    return this.limit.durationMs;
  }

  /** Sets the number of connections available for statements. */
  setMaximumRunning(maximum: number): void {
    this.limit.setMaximum(maximum);
  }

  /** Estimates the time in the queue for a new request, in milliseconds. */
  estimateWaitMs(
    request: Pick<AdmissionRequest, 'caller' | 'weight' | 'access'>,
  ): number {
    if (this.running < this.limit.value && this.waiting === 0) return 0;
    const {caller, weight, access} = request;
    const ahead = this.queues[access].countAhead(caller, weight);
    const oppositeCount =
      this.queues[access === 'read' ? 'write' : 'read'].length;
    const turns = ahead + 1 + Math.min(oppositeCount, ahead + 1);
    return (turns * this.limit.durationMs) / this.limit.value;
  }

  /**
   * Offers a request for execution.
   *
   * @param nowMs - The monotonic time, in milliseconds.
   * @param random - A random number in [0, 1); adds jitter to the retry delay.
   */
  offer(
    request: AdmissionRequest,
    nowMs: number,
    random: number,
  ): AdmissionDecision {
    const expectedWaitMs = this.estimateWaitMs(request);
    const remainingMs = request.deadlineAtMs - nowMs - this.limit.durationMs;
    if (
      expectedWaitMs > Math.min(remainingMs, MAXIMUM_WAIT_MS) ||
      remainingMs < 0
    ) {
      const reason = remainingMs < 0 ? 'deadline' : 'overloaded';
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

  /** Records the end of a started request; undefined timing if none was measured. */
  finish(timing: ExecutionTiming | undefined, nowMs: number): AdmissionEffects {
    const isFull = this.running >= this.limit.value;
    if (timing !== undefined) this.limit.recordCompletion(timing, isFull);
    this.running -= 1;
    return this.advance(nowMs);
  }

  /** Returns the requests that start now and those that expire. */
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

  /** Removes a queued request whose caller has disconnected. */
  cancel(id: string): boolean {
    const isCancelled = (request: AdmissionRequest): boolean =>
      request.id === id;
    const queues = Object.values(this.queues);
    return queues.some(queue => queue.removeWhere(isCancelled).length > 0);
  }

  /** Computes the delay before a caller refused now should retry, in milliseconds. */
  computeRetryAfterMs(random: number): number {
    const backlogMs = (this.waiting * this.limit.durationMs) / this.limit.value;
    const baseMs = Math.max(MINIMUM_RETRY_AFTER_MS, backlogMs);
    const refusalRate = Math.min(this.refusalRate, MAXIMUM_REFUSAL_RATE);
    const jitterFactor = MINIMUM_JITTER_FACTOR + random;
    return Math.ceil((baseMs * jitterFactor) / (1 - refusalRate));
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
    const earliestEndMs = nowMs + this.limit.durationMs;
    const isUnreachable = (request: AdmissionRequest): boolean =>
      request.deadlineAtMs < earliestEndMs;
    return Object.values(this.queues).flatMap(queue =>
      queue.removeWhere(isUnreachable),
    );
  }

  private takeNext(): AdmissionRequest | undefined {
    const preferred = this.nextAccess;
    const other = preferred === 'read' ? 'write' : 'read';
    const request = this.queues[preferred].shift();
    if (request === undefined) return this.queues[other].shift();
    this.nextAccess = other;
    return request;
  }
}
