import type {
  AdmissionEffects,
  CircuitBreakerState,
} from '@sapphireglade/decisions';
import {
  AdmissionQueue,
  canSendThroughCircuit,
  CLOSED_CIRCUIT,
  ErrorKind,
  recordCircuitFailure,
  recordCircuitAttempt,
  Outcome,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {StatementResponse} from '@sapphireglade/protocol';
import type {InstancePool} from '../pool/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import {UpstreamRefusedError} from '../upstream/index.js';

/**
 * Interval between checks for queued requests that expired, in milliseconds.
 */
const EXPIRY_INTERVAL_MS = 10;

/** An operation to be run on an instance. */
export interface UpstreamOperation {
  readonly caller: string;
  readonly weight: number;
  readonly access: 'read' | 'write';
  /** Deadline for the answer, monotonic, in milliseconds. */
  readonly deadlineAtMs: number;
}

/** Callbacks of a queued request. */
interface Waiter {
  readonly start: () => void;
  readonly refuse: () => void;
}

/** Admits operations to one instance as its concurrency slots allow. */
export class InstanceAdmission {
  private readonly queue: AdmissionQueue;
  private readonly waiters = new Map<string, Waiter>();
  private circuitBreaker: CircuitBreakerState = CLOSED_CIRCUIT;
  private expiryTimer: NodeJS.Timeout | undefined;
  private nextId = 1;

  /** @param pool - The connections to the instance. */
  constructor(readonly pool: InstancePool) {
    this.queue = new AdmissionQueue(pool.statementLimit);
  }

  /**
   * Whether the pool is usable and the circuit breaker lets requests through.
   */
  get isUsable(): boolean {
    return (
      this.pool.isUsable &&
      canSendThroughCircuit(this.circuitBreaker, performance.now())
    );
  }

  /** Expected time from sending a request to its answer, in milliseconds. */
  get durationMs(): number {
    return this.queue.durationMs;
  }

  /** Estimates the time an operation spends in the queue, in milliseconds. */
  estimateWaitMs(work: UpstreamOperation): number {
    return this.queue.estimateWaitMs(work);
  }

  /**
   * Computes the delay before a caller refused now should retry, in
   * milliseconds.
   */
  computeRetryAfterMs(): number {
    return this.queue.computeRetryAfterMs(Math.random());
  }

  /**
   * Reserves connections for transactions, which reduces the concurrency limit.
   */
  setPinnedConnections(count: number): void {
    this.queue.setMaximumRunning(this.pool.statementLimit - count);
  }

  /**
   * Runs an operation on a connection as soon as the queue admits it.
   *
   * @param work - The operation, with its caller and deadline.
   * @param use - Sends the statement over the connection.
   * @throws SapphiregladeError of kind `overloaded` or `deadline-unreachable`
   *   as soon as the operation can no longer finish in time.
   */
  async run(
    work: UpstreamOperation,
    use: (connection: UpstreamConnection) => Promise<StatementResponse>,
  ): Promise<StatementResponse> {
    const {connection, answer} = await this.runAndKeepConnection(work, use);
    this.pool.release(connection);
    return answer;
  }

  /** Like {@link run}, but returns the connection instead of releasing it. */
  async runAndKeepConnection(
    work: UpstreamOperation,
    use: (connection: UpstreamConnection) => Promise<StatementResponse>,
  ): Promise<{connection: UpstreamConnection; answer: StatementResponse}> {
    await this.admit(work);
    const connection = await this.acquireConnection(work);
    const sentAtMs = performance.now();
    this.circuitBreaker = recordCircuitAttempt(this.circuitBreaker);
    try {
      const answer = await use(connection);
      this.circuitBreaker = CLOSED_CIRCUIT;
      const durationMs = performance.now() - sentAtMs;
      this.finish({durationMs, waitedMs: answer.waitedMs});
      return {connection, answer};
    } catch (error) {
      this.pool.release(connection);
      this.recordFailure(error);
      this.finish(undefined);
      throw error;
    }
  }

  private async acquireConnection(
    work: UpstreamOperation,
  ): Promise<UpstreamConnection> {
    try {
      const leftMs = Math.max(1, work.deadlineAtMs - performance.now());
      return await this.pool.acquire(leftMs);
    } catch (error) {
      this.finish(undefined);
      throw error;
    }
  }

  /** Waits until the queue admits the operation. */
  private admit(work: UpstreamOperation): Promise<void> {
    const id = String(this.nextId);
    this.nextId += 1;
    const {caller, weight, access, deadlineAtMs} = work;
    const request = {id, caller, weight, access, deadlineAtMs};
    const nowMs = performance.now();
    const decision = this.queue.offer(request, nowMs, Math.random());
    if (decision.action === 'start') return Promise.resolve();
    if (decision.action === 'refuse') {
      return Promise.reject(
        this.refusal(decision.reason, decision.retryAfterMs),
      );
    }
    this.startExpiryTimer();
    return new Promise((resolve, reject) => {
      const refuse = (): void =>
        reject(this.refusal('overloaded', this.computeRetryAfterMs()));
      this.waiters.set(id, {start: resolve, refuse});
    });
  }

  private finish(
    work: {durationMs: number; waitedMs: number} | undefined,
  ): void {
    this.applyEffects(this.queue.finish(work, performance.now()));
  }

  private applyEffects({start, expire}: AdmissionEffects): void {
    for (const {id} of expire) this.removeWaiter(id)?.refuse();
    for (const {id} of start) this.removeWaiter(id)?.start();
  }

  private removeWaiter(id: string): Waiter | undefined {
    const waiter = this.waiters.get(id);
    this.waiters.delete(id);
    return waiter;
  }

  /** Refuses queued operations as soon as they can no longer finish in time. */
  private startExpiryTimer(): void {
    this.expiryTimer ??= setTimeout(() => {
      this.expiryTimer = undefined;
      this.applyEffects(this.queue.advance(performance.now()));
      if (this.queue.waiting > 0) this.startExpiryTimer();
    }, EXPIRY_INTERVAL_MS);
  }

  private recordFailure(error: unknown): void {
    if (error instanceof UpstreamRefusedError) {
      this.circuitBreaker = CLOSED_CIRCUIT;
      return;
    }
    this.circuitBreaker = recordCircuitFailure(
      this.circuitBreaker,
      performance.now(),
      Math.random(),
    );
  }

  private refusal(
    reason: 'overloaded' | 'deadline',
    retryAfterMs: number,
  ): SapphiregladeError {
    const {name} = this.pool.instance;
    const details = {outcome: Outcome.NotRun, retryAfterMs};
    return reason === 'overloaded'
      ? new SapphiregladeError(
          ErrorKind.Overloaded,
          `The instance ${name} has more work than it can carry.`,
          details,
        )
      : new SapphiregladeError(
          ErrorKind.DeadlineUnreachable,
          `The instance ${name} could not have answered in time.`,
          details,
        );
  }
}
