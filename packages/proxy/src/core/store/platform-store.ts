import type {
  GetResponse,
  LeaseResponse,
  LeaseRequest,
  CompareAndSwapResponse,
  CompareAndSwapRequest,
} from '@sapphireglade/protocol';

/**
 * The platform's key-value service.
 *
 * Every method rejects with a `SapphiregladeError` of kind
 * `store-unavailable` when no answer came. Its outcome is `not run` if the
 * store refused the call or it was never sent; otherwise a change may have
 * taken effect, or may still do so.
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
  /** Waits until the version of a key is past the given one, or time passes. */
  abstract watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<GetResponse>;
  /** Acquires or renews a lease. */
  abstract acquireLease(request: LeaseRequest): Promise<LeaseResponse>;
  /** Gives a lease back. */
  abstract releaseLease(request: LeaseRequest): Promise<LeaseResponse>;
}
