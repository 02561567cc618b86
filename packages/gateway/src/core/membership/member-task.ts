import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {TaskLifecycle} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CoordinationStore} from '../store/index.js';
import type {Members} from './members.js';
import {MEMBER_PREFIX} from './members.js';
import type {MemberRecord} from './types.js';

/** How long an owner counts as live after its last renewal, in milliseconds; a change of primary counts the owners that are live. */
const OWNER_LEASE_TTL_MS = 2_400;

/** The same of a proxy that owns nothing, in milliseconds. */
const GUEST_LEASE_TTL_MS = 6_000;

/** Renewals in the time that a lease lasts. */
const RENEWALS_PER_LEASE = 3;

/** Pause after a failed call, in milliseconds. */
const RETRY_PAUSE_MS = 200;

/** What the task needs. */
export interface MemberTaskOptions {
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
  readonly members: Members;
  readonly log: Logger;
}

/** Publishes this proxy in the store under a lease, and keeps it there. */
export class MemberTask extends TaskLifecycle {
  private readonly ending = new AbortController();
  private lease: number | undefined;
  private leaseTtlMs = GUEST_LEASE_TTL_MS;
  private suspects: readonly string[] = [];
  private published: string | undefined;
  private wake: () => void = () => undefined;

  constructor(private readonly options: MemberTaskOptions) {
    super('member');
  }

  /** Publishes which groups' primaries this proxy cannot use. */
  publishSuspects(suspects: readonly string[]): void {
    if (suspects.join() === this.suspects.join()) return;
    this.suspects = [...suspects];
    this.wake();
  }

  protected override onStart(): Promise<void> {
    void this.keep();
    return Promise.resolve();
  }

  /** Leaves the list of live proxies, so that others take over what it owns. */
  protected override async onStop(): Promise<void> {
    this.ending.abort();
    this.wake();
    const lease = this.lease;
    if (lease === undefined) return;
    try {
      await this.options.store.endLease(lease);
    } catch (error) {
      this.options.log.warn('The lease could not be ended; it will lapse.', {
        error: String(error),
      });
    }
  }

  private async keep(): Promise<void> {
    while (!this.ending.signal.aborted) {
      try {
        await this.renew();
        await this.publish();
        await this.pause(this.leaseTtlMs / RENEWALS_PER_LEASE);
      } catch (error) {
        if (!isStoreFailure(error)) throw error;
        this.options.log.debug('The lease could not be kept.', {
          error: String(error),
        });
        await this.pause(RETRY_PAUSE_MS);
      }
    }
  }

  private async renew(): Promise<void> {
    const {store, log, ownsAny} = this.options;
    const ttlMs = ownsAny() ? OWNER_LEASE_TTL_MS : GUEST_LEASE_TTL_MS;
    const isShortEnough = this.lease !== undefined && this.leaseTtlMs <= ttlMs;
    if (this.lease !== undefined && isShortEnough) {
      if (await store.renewLease(this.lease)) return;
      log.warn('The lease of this proxy has ended.', {lease: this.lease});
    }
    // A longer lease lapses by itself; the key no longer lives under it.
    this.lease = (await store.grantLease(ttlMs)).leaseId;
    this.leaseTtlMs = ttlMs;
    this.published = undefined;
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
    const isCurrent = this.published === value && listed;
    if (isCurrent || this.lease === undefined) return;
    const result = await store.transact({
      conditions: [],
      puts: [{key: MEMBER_PREFIX + name, value, leaseId: this.lease}],
    });
    if (result.kind !== 'committed') {
      this.lease = undefined;
      return;
    }
    this.published = value;
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
