import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CoordinationStore} from '../store/index.js';
import type {MemberList} from './member-list.js';
import {MEMBER_PREFIX} from './member-list.js';
import type {MemberRecord} from './types.js';

/**
 * Lease TTL of a proxy that owns a group, in milliseconds; short, because a
 * change of primary counts the live owners.
 */
const OWNER_LEASE_TTL_MS = 2_400;

/** Lease TTL of a proxy that owns no group, in milliseconds. */
const NON_OWNER_LEASE_TTL_MS = 6_000;

/** Number of renewals per lease TTL. */
const RENEWALS_PER_LEASE = 3;

/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 200;

/** Options of the member registration. */
export interface MemberRegistrationOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  /**
   * Returns the address at which this proxy accepts links from other proxies.
   */
  readonly peerAddress: () => string;
  /** Returns the capacity of this VM relative to the others. */
  readonly capacity: () => number;
  /** Returns whether this proxy owns any group. */
  readonly ownsAny: () => boolean;
  /** Called after the member record of this proxy was written. */
  readonly onPublished: () => void;
  readonly store: CoordinationStore;
  readonly members: MemberList;
  readonly log: Logger;
}

/**
 * Publishes the member record of this proxy in the store under a lease, and
 * keeps it up to date.
 */
export class MemberRegistrationTask extends SupervisedTask {
  private readonly abortController = new AbortController();
  private lease: number | undefined;
  private leaseTtlMs = NON_OWNER_LEASE_TTL_MS;
  private suspects: readonly string[] = [];
  private publishedValue: string | undefined;
  private wake: () => void = () => undefined;

  constructor(private readonly options: MemberRegistrationOptions) {
    super('member');
    options.store.restored$.subscribe(() => this.onStoreRestored());
  }

  /** Publishes the groups whose primary this proxy cannot use. */
  publishSuspects(suspects: readonly string[]): void {
    if (suspects.join() === this.suspects.join()) return;
    this.suspects = [...suspects];
    this.wake();
  }

  protected override onStart(): Promise<void> {
    void this.keepRegistered();
    return Promise.resolve();
  }

  /**
   * Revokes the lease, so that the other proxies take over the owned groups.
   */
  protected override async onStop(): Promise<void> {
    this.abortController.abort();
    this.wake();
    const lease = this.lease;
    if (lease === undefined) return;
    try {
      await this.options.store.revokeLease(lease);
    } catch (error) {
      this.options.log.warn(
        'The member lease could not be revoked; it will expire.',
        {
          error: String(error),
        },
      );
    }
  }

  /** Registers anew; the restored store may have granted the id of the lease to another proxy. */
  private onStoreRestored(): void {
    this.lease = undefined;
    this.publishedValue = undefined;
    this.wake();
  }

  private async keepRegistered(): Promise<void> {
    while (!this.abortController.signal.aborted) {
      try {
        await this.renew();
        await this.publish();
        await this.pause(this.leaseTtlMs / RENEWALS_PER_LEASE);
      } catch (error) {
        if (!isStoreFailure(error)) throw error;
        this.options.log.debug(
          'The member lease could not be renewed or published; retrying.',
          {
            error: String(error),
          },
        );
        await this.pause(RETRY_DELAY_MS);
      }
    }
  }

  private async renew(): Promise<void> {
    const {store, log, ownsAny} = this.options;
    const ttlMs = ownsAny() ? OWNER_LEASE_TTL_MS : NON_OWNER_LEASE_TTL_MS;
    const isShortEnough = this.lease !== undefined && this.leaseTtlMs <= ttlMs;
    if (this.lease !== undefined && isShortEnough) {
      if (await store.renewLease(this.lease)) return;
      log.warn('The member lease has expired; requesting another.', {
        lease: this.lease,
      });
    }
    // A longer lease is left to expire; the key is no longer attached to it.
    this.lease = (await store.grantLease(ttlMs)).leaseId;
    this.leaseTtlMs = ttlMs;
    this.publishedValue = undefined;
  }

  /** Writes the member key if it is missing or out of date. */
  private async publish(): Promise<void> {
    const {name, incarnation, store, members} = this.options;
    const record: MemberRecord = {
      name,
      incarnation,
      availabilityZone: this.options.availabilityZone,
      peerAddress: this.options.peerAddress(),
      capacity: this.options.capacity(),
      suspects: this.suspects,
    };
    const value = JSON.stringify(record);
    const isListed = members.find(name)?.incarnation === incarnation;
    const isCurrent = this.publishedValue === value && isListed;
    if (isCurrent || this.lease === undefined) return;
    const result = await store.transact({
      conditions: [],
      puts: [{key: MEMBER_PREFIX + name, value, leaseId: this.lease}],
    });
    if (result.kind !== 'committed') {
      this.lease = undefined;
      return;
    }
    this.publishedValue = value;
    this.options.onPublished();
  }

  /** Waits, but returns early if there is something to publish. */
  private async pause(milliseconds: number): Promise<void> {
    const abortController = new AbortController();
    this.wake = () => abortController.abort();
    try {
      await sleep(milliseconds, undefined, {signal: abortController.signal});
    } catch {
      // Aborted, because there is something to publish.
    }
  }
}

function isStoreFailure(error: unknown): boolean {
  return (
    error instanceof SapphiregladeError &&
    error.kind === ErrorKind.StoreUnavailable
  );
}
