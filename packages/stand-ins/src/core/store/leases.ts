import type {LeaseResponse, LeaseRequest} from '@sapphireglade/protocol';

/** Lease on a key. */
interface Lease {
  readonly holder: string;
  /** Expiry by the store's monotonic clock, in milliseconds. */
  readonly expiresAt: number;
}

/** Leases that expire by the clock of the store. */
export class Leases {
  private readonly leases = new Map<string, Lease>();

  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Grants or renews a lease unless another holder has it. */
  acquire({key, holder, durationMs}: LeaseRequest): LeaseResponse {
    const current = this.find(key);
    if (current === undefined || current.holder === holder) {
      this.leases.set(key, {holder, expiresAt: this.now() + durationMs});
    }
    return this.createResponse(key, holder);
  }

  /** Releases a lease if this holder has it. */
  release({key, holder}: LeaseRequest): LeaseResponse {
    if (this.find(key)?.holder === holder) this.leases.delete(key);
    return this.createResponse(key, holder);
  }

  private find(key: string): Lease | undefined {
    const lease = this.leases.get(key);
    if (lease === undefined || lease.expiresAt > this.now()) return lease;
    this.leases.delete(key);
    return undefined;
  }

  private createResponse(key: string, requester: string): LeaseResponse {
    const lease = this.find(key);
    return {
      held: lease?.holder === requester,
      holder: lease?.holder ?? null,
      remainingMs: lease === undefined ? 0 : lease.expiresAt - this.now(),
    };
  }
}
