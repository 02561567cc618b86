import {
  DELEGATE_LEASE_MS,
  DELEGATE_RENEWAL_MS,
  delegateLeaseKey,
  isDelegateCandidate,
} from '@sapphireglade/decisions';
import {PeriodicTask} from '@sapphireglade/runtime';
import type {Observable} from 'rxjs';
import {BehaviorSubject, distinctUntilChanged} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {MembershipTracker} from '../membership/index.js';
import type {PlatformStore} from '../store/index.js';
import {withJitter} from './jitter.js';

/** Time for which a reported lease holder is valid, in milliseconds. */
const HOLDER_HINT_LIFETIME_MS = 6_000;

/**
 * Acquires the delegate lease of the zone and caches the name of its holder.
 */
export class DelegateElection extends PeriodicTask {
  private readonly role = new BehaviorSubject(false);
  private holder: string | undefined;
  private holderExpiresAtMs = 0;
  private leaseExpiresAtMs = 0;

  /**
   * @param context - The shared state of this process.
   * @param store - The platform's store.
   * @param members - The membership of the entry VMs.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly store: PlatformStore,
    private readonly members: MembershipTracker,
  ) {
    super('delegate-election');
  }

  /** Emits whether this proxy is the delegate, on each change. */
  get isDelegate$(): Observable<boolean> {
    return this.role.pipe(distinctUntilChanged());
  }

  /** Whether this proxy held the lease at its last check. */
  get isDelegate(): boolean {
    return this.role.value;
  }

  /** Name of the lease holder; `undefined` if it is unknown or has expired. */
  get leaseHolder(): string | undefined {
    if (performance.now() >= this.holderExpiresAtMs) return undefined;
    return this.holder;
  }

  /** Records the lease holder that another proxy reported. */
  recordLeaseHolder(holder: string | null): void {
    if (holder === null || this.isDelegate) return;
    this.holder = holder;
    this.holderExpiresAtMs = performance.now() + HOLDER_HINT_LIFETIME_MS;
  }

  protected async runOnce(): Promise<number> {
    const {zone, vm} = this.context.settings;
    const reachable = this.members.listContactableByZone().get(zone) ?? [vm];
    if (isDelegateCandidate(vm, zone, reachable)) await this.tryAcquireLease();
    else await this.resign();
    return withJitter(DELEGATE_RENEWAL_MS);
  }

  /** Releases the lease, so that another proxy need not wait for its expiry. */
  protected override async onStop(): Promise<void> {
    await super.onStop();
    await this.resign();
  }

  private async tryAcquireLease(): Promise<void> {
    const askedAtMs = performance.now();
    try {
      const answer = await this.store.acquireLease(this.request());
      if (this.isStopRequested) return;
      this.leaseExpiresAtMs = answer.held ? askedAtMs + DELEGATE_LEASE_MS : 0;
      this.holder = answer.holder ?? undefined;
      this.holderExpiresAtMs = askedAtMs + HOLDER_HINT_LIFETIME_MS;
    } catch {
      // Without a response from the store, the lease stays valid until it
      // expires.
    }
    this.setIsDelegate(performance.now() < this.leaseExpiresAtMs);
  }

  private async resign(): Promise<void> {
    const wasDelegate = this.isDelegate;
    this.leaseExpiresAtMs = 0;
    this.setIsDelegate(false);
    if (!wasDelegate) return;
    await this.store.releaseLease(this.request()).catch(() => undefined);
  }

  private request(): {key: string; holder: string; durationMs: number} {
    const {zone, vm} = this.context.settings;
    return {
      key: delegateLeaseKey(zone),
      holder: vm,
      durationMs: DELEGATE_LEASE_MS,
    };
  }

  private setIsDelegate(isDelegate: boolean): void {
    if (this.role.value === isDelegate) return;
    const {zone} = this.context.settings;
    const kind = isDelegate ? 'delegate-began' : 'delegate-ended';
    this.context.events.record(kind, {zone});
    this.role.next(isDelegate);
  }
}
