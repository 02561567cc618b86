import type {
  GetResponse,
  LeaseResponse,
  LeaseRequest,
  CompareAndSwapResponse,
  CompareAndSwapRequest,
} from '@sapphireglade/protocol';
import type {Observable} from 'rxjs';
import {BehaviorSubject} from 'rxjs';
import type {MetricsRegistry} from '../metrics/index.js';
import {PlatformStore} from './platform-store.js';

/** Counts the calls to the store and tracks whether it is available. */
export class InstrumentedStore extends PlatformStore {
  private readonly unavailable = new BehaviorSubject<number | null>(null);

  /**
   * @param store - The store to call.
   * @param metrics - Registry that counts the calls.
   */
  constructor(
    private readonly store: PlatformStore,
    private readonly metrics: MetricsRegistry,
  ) {
    super();
  }

  /**
   * Emits the wall-clock time since which the store has been unavailable, in
   * milliseconds, or null when it answers again.
   */
  get unavailableSince$(): Observable<number | null> {
    return this.unavailable;
  }

  /** Wall-clock time of {@link unavailableSince$}, in milliseconds, or null. */
  get unavailableSince(): number | null {
    return this.unavailable.value;
  }

  get(key: string): Promise<GetResponse> {
    return this.recordCall('get', this.store.get(key));
  }

  compareAndSwap(
    request: CompareAndSwapRequest,
  ): Promise<CompareAndSwapResponse> {
    return this.recordCall('swap', this.store.compareAndSwap(request));
  }

  delete(
    key: string,
    expectedVersion: number,
  ): Promise<CompareAndSwapResponse> {
    return this.recordCall('delete', this.store.delete(key, expectedVersion));
  }

  list(prefix: string): Promise<readonly string[]> {
    return this.recordCall('list', this.store.list(prefix));
  }

  watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<GetResponse> {
    const answer = this.store.watch(key, afterVersion, timeoutMs);
    return this.recordCall('watch', answer);
  }

  acquireLease(request: LeaseRequest): Promise<LeaseResponse> {
    return this.recordCall('lease', this.store.acquireLease(request));
  }

  releaseLease(request: LeaseRequest): Promise<LeaseResponse> {
    return this.recordCall('lease', this.store.releaseLease(request));
  }

  private async recordCall<Answer>(
    operation: string,
    answer: Promise<Answer>,
  ): Promise<Answer> {
    try {
      const result = await answer;
      this.count(operation, 'answered');
      if (this.unavailable.value !== null) this.unavailable.next(null);
      return result;
    } catch (error) {
      this.count(operation, 'failed');
      if (this.unavailable.value === null) this.unavailable.next(Date.now());
      throw error;
    }
  }

  private count(operation: string, result: string): void {
    this.metrics.increment('sapphireglade_store_calls_total', {
      operation,
      result,
    });
  }
}
