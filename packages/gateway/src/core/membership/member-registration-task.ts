import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CoordinationStore} from '../store/index.js';
import type {MemberList} from './member-list.js';
import {MEMBER_PREFIX} from './member-list.js';
import type {MemberRecord} from './types.js';

/** How long an owner counts as live after its last renewal, in milliseconds; a change of primary counts the owners that are live. */
const OWNER_LEASE_TTL_MS = 2_400;

/** The same of a proxy that owns nothing, in milliseconds. */
const NON_OWNER_LEASE_TTL_MS = 6_000;

/** Renewals in the time that a lease lasts. */
const RENEWALS_PER_LEASE = 3;

/** Pause after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 200;

/** What the task needs. */
export interface MemberRegistrationOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Where this proxy accepts links from the others. */
  readonly peerAddress: () => string;
  /** What this VM can carry, compared with the others. */
  readonly capacity: () => number;
  /** Whether this proxy owns any group. */
  readonly ownsAny: () => boolean;
  /** Called when what this proxy says of itself was written. */
  readonly onPublished: () => void;
  readonly store: CoordinationStore;
  readonly members: MemberList;
  readonly log: Logger;
}

/** Publishes this proxy in the store under a lease, and keeps it there. */
export class MemberRegistrationTask extends SupervisedTask {
  private readonly abortController = new AbortController();
  private lease: number | undefined;
  private leaseTtlMs = NON_OWNER_LEASE_TTL_MS;
  private suspects: readonly string[] = [];
  private publishedValue: string | undefined;
  private wake: () => void = () => undefined;

  constructor(private readonly options: MemberRegistrationOptions) {
    super('member');
  }

  /** Publishes which groups' primaries this proxy cannot use. */
  publishSuspects(suspects: readonly string[]): void {
    if (suspects.join() === this.suspects.join()) return;
    this.suspects = [...suspects];
    this.wake();
  }

  protected override onStart(): Promise<void> {
    void this.keepRegistered();
    return Promise.resolve();
  }

  /** Leaves the list of live proxies, so that others take over what it owns. */
  protected override async onStop(): Promise<void> {
    this.abortController.abort();
    this.wake();
    const lease = this.lease;
    if (lease === undefined) return;
    try {
      await this.options.store.revokeLease(lease);
    } catch (error) {
      this.options.log.warn('The lease could not be ended; it will lapse.', {
        error: String(error),
      });
    }
  }

  private async keepRegistered(): Promise<void> {
    while (!this.abortController.signal.aborted) {
      try {
        await this.renew();
        await this.publish();
        await this.pause(this.leaseTtlMs / RENEWALS_PER_LEASE);
      } catch (error) {
        if (!isStoreFailure(error)) throw error;
        this.options.log.debug('The lease could not be kept.', {
          error: String(error),
        });
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
      log.warn('The lease of this proxy has ended.', {lease: this.lease});
    }
    // A longer lease lapses by itself; the key no longer lives under it.
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
    const listed = members.find(name)?.incarnation === incarnation;
    const isCurrent = this.publishedValue === value && listed;
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

  /** Waits, unless there is something to publish. */
  private async pause(milliseconds: number): Promise<void> {
    const waking = new AbortController();
    this.wake = () => waking.abort();
    try {
      await sleep(milliseconds, undefined, {signal: waking.signal});
    } catch {
      // Woken early, because there is something to publish.
    }
  }
}

function isStoreFailure(error: unknown): boolean {
  return (
    error instanceof SapphiregladeError &&
    error.kind === ErrorKind.StoreUnavailable
  );
}
