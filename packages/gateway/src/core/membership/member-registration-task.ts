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

/** A primary that a proxy cannot use. */
export interface SuspectedPrimary {
  /** Name of its group. */
  readonly group: string;
  /** Term in which it leads. */
  readonly term: number;
}

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
  private suspects: readonly SuspectedPrimary[] = [];
  private unobserved: readonly string[] = [];
  private publishedValue: string | undefined;
  /** Revision at which {@link publishedValue} was written. */
  private publishedRevision = 0;
  private wake: () => void = () => undefined;

  constructor(private readonly options: MemberRegistrationOptions) {
    super('member');
    options.store.restored$.subscribe(() => this.onStoreRestored());
  }

  /**
   * Publishes what this proxy knows of the primaries.
   *
   * @param suspects - The primaries that it cannot use, in order of their groups.
   * @param unobserved - Groups to whose primary it may hold no connection.
   */
  publishSuspects(
    suspects: readonly SuspectedPrimary[],
    unobserved: readonly string[] = [],
  ): void {
    const isSame =
      JSON.stringify(suspects) === JSON.stringify(this.suspects) &&
      unobserved.join() === this.unobserved.join();
    if (isSame) return;
    this.suspects = [...suspects];
    this.unobserved = [...unobserved];
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
    this.publishedRevision = 0;
    this.wake();
  }

  private async keepRegistered(): Promise<void> {
    while (!this.abortController.signal.aborted) {
      // The store may execute calls that it does not answer: the record lives
      // on then, and has to say which primaries cannot be used.
      const publishing = this.attempt(() => this.publish());
      const isRenewed = await this.attempt(() => this.renew());
      const isPublished =
        (await publishing) && (await this.attempt(() => this.publish()));
      await this.pause(
        isRenewed && isPublished
          ? this.leaseTtlMs / RENEWALS_PER_LEASE
          : RETRY_DELAY_MS,
      );
    }
  }

  /** Calls the store. Returns whether it answered. */
  private async attempt(call: () => Promise<void>): Promise<boolean> {
    if (this.abortController.signal.aborted) return false;
    try {
      await call();
      return true;
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      this.options.log.debug(
        'The member lease could not be renewed or published; retrying.',
        {
          error: String(error),
        },
      );
      return false;
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
      suspects: this.suspects.map(({group}) => group),
      suspectedTerms: this.suspects.map(({term}) => term),
      ...(this.unobserved.length > 0 && {unobserved: this.unobserved}),
    };
    const value = JSON.stringify(record);
    const isListed =
      members.find(name)?.incarnation === incarnation &&
      // A call that got no response may be executed after a later one.
      members.revisionOf(name) <= this.publishedRevision;
    const isCurrent = this.publishedValue === value && isListed;
    const {lease} = this;
    if (isCurrent || lease === undefined) return;
    const result = await store.transact({
      conditions: [],
      puts: [{key: MEMBER_PREFIX + name, value, leaseId: lease}],
    });
    // A renewal that ran beside it may have replaced the lease.
    if (this.lease !== lease) return;
    if (result.kind !== 'committed') {
      this.lease = undefined;
      return;
    }
    this.publishedValue = value;
    this.publishedRevision = result.revision;
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
