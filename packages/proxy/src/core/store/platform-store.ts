import type {
  GetResponse,
  LeaseResponse,
  LeaseRequest,
  CompareAndSwapResponse,
  CompareAndSwapRequest,
} from '@sapphireglade/protocol';

/**
 * The platform's key-value store.
 *
 * Every method rejects with a `SapphiregladeError` of kind
 * `store-unavailable` if no answer arrived. Its outcome is `not run` if the
 * store refused the call or the call was never sent. Otherwise a change may
 * have taken effect, or may still take effect.
 */
export abstract class PlatformStore {
  /** Reads a key. */
  abstract get(key: string): Promise<GetResponse>;
  /** Writes a key if its version is the expected one. */
  abstract compareAndSwap(
    request: CompareAndSwapRequest,
  ): Promise<CompareAndSwapResponse>;
  /** Deletes a key if its version is the expected one. */
  abstract delete(
    key: string,
    expectedVersion: number,
  ): Promise<CompareAndSwapResponse>;
  /** Lists the keys with a prefix. */
  abstract list(prefix: string): Promise<readonly string[]>;
  /** Waits until a key has a version above the given one, or the timeout. */
  abstract watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<GetResponse>;
  /** Acquires or renews a lease. */
  abstract acquireLease(request: LeaseRequest): Promise<LeaseResponse>;
  /** Releases a lease. */
  abstract releaseLease(request: LeaseRequest): Promise<LeaseResponse>;
}
