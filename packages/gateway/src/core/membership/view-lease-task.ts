import type {ClockReading} from '@sapphireglade/decisions';
import {SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import type {CoordinationStore, StoreTransaction} from '../store/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import {KNOWN_PROXY_PREFIX, knownProxyValue} from './known-proxies.js';

/**
 * TTL of the lease, in milliseconds; slightly above the shortest that the
 * users' store grants.
 */
const LEASE_TTL_MS = 1_200;

/**
 * Minimum interval between two renewals, in milliseconds; a third of the
 * validity of views, so that one renewal may be lost.
 */
const MINIMUM_INTERVAL_MS = 330;

/**
 * Added to the renewal interval for each proxy with a view lease, in
 * milliseconds, so that 640 proxies make 1,250 calls a second.
 */
const INTERVAL_PER_PROXY_MS = 0.8;

/**
 * Maximum number of renewals, or of requests for a lease, without a response; a
 * slow store responds late, but in order.
 */
const MAXIMUM_PENDING_CALLS = 4;

/**
 * How long renewals may be without a response before the lease is dropped, in
 * milliseconds; longer than a call takes that the platform does not give up,
 * and short enough that the lease has expired long before a dead primary must
 * be replaced.
 */
const MAXIMUM_SILENCE_MS = 2 * LEASE_TTL_MS;

/** Options of the view lease. */
export interface ViewLeaseOptions {
  readonly name: string;
  readonly store: CoordinationStore;
  /**
   * Returns the revision at which the key of this proxy was written, as far as
   * followed; 0 if there is none.
   */
  readonly keyRevision: () => number;
  /** Returns the number of proxies that hold a view lease. */
  readonly proxyCount: () => number;
  readonly log: Logger;
  /** Called after a successful renewal with the time at which it was sent. */
  readonly onRenewed: (sentAt: ClockReading) => void;
  /**
   * Called when the records have to be read again before views become valid.
   */
  readonly onRecordsNeeded: () => void;
  /**
   * Called when a lease was dropped because its renewals get no response; it
   * expires by itself.
   */
  readonly onDropped: () => void;
}

/** A view lease of this proxy and its state. */
interface ViewLease {
  readonly id: number;
  /** When the lease was published, in milliseconds of the steady clock. */
  publishedAtMs: number | undefined;
  /** Whether the records were read after the lease was published. */
  isConfirmed: boolean;
  /**
   * When the last response arrived that showed the lease to be alive, in
   * milliseconds of the steady clock.
   */
  answeredAtMs: number;
  pendingRenewals: number;
}

/**
 * Maintains the view lease, under which this proxy acts on its views of
 * primaries.
 *
 * A change of primary first writes its record and then revokes the lease of
 * every proxy that has not applied the record. As long as renewals succeed, the
 * lease was not revoked, and a valid view may be extended. A new lease extends
 * no view before the records were read after its publication, because a change
 * may have begun between the two leases.
 *
 * A store may execute renewals without a response. The lease, and the
 * coordinator key attached to it, would then live on although this proxy learns
 * nothing from the store. It therefore drops a lease whose renewals get no
 * response, which extends no view any more.
 */
export class ViewLeaseTask extends SupervisedTask {
  private lease: ViewLease | undefined;
  /**
   * When the name of this proxy was first published since the store was last
   * restored, in milliseconds of the steady clock.
   */
  private firstPublishedAtMs = Infinity;
  private timer: NodeJS.Timeout | undefined;
  /** Revision at which this process last wrote its key. */
  private writtenRevision: number | undefined;
  private pendingGrants = 0;
  private isPublishing = false;
  private isStopped = false;

  constructor(private readonly options: ViewLeaseOptions) {
    super('view-lease');
    options.store.restored$.subscribe(() => this.onStoreRestored());
  }

  /** Id of the lease, once it is published to the other proxies. */
  get leaseId(): number | undefined {
    return this.isPublished ? this.lease?.id : undefined;
  }

  /**
   * Whether the lease is published, so that changes of primary wait for this
   * proxy.
   */
  get isPublished(): boolean {
    return this.lease?.publishedAtMs !== undefined;
  }

  /**
   * Returns whether this proxy was published when a request was sent. Every
   * change of primary that the response does not include then waits for this
   * proxy.
   */
  wasPublishedBefore(sentAt: ClockReading): boolean {
    return sentAt.steadyMs >= this.firstPublishedAtMs;
  }

  /** Handles that the records were read by a request sent at the given time. */
  onRecordsRead(sentAt: ClockReading): void {
    const publishedAtMs = this.lease?.publishedAtMs;
    if (this.lease === undefined || publishedAtMs === undefined) return;
    if (sentAt.steadyMs >= publishedAtMs) this.lease.isConfirmed = true;
  }

  protected override onStart(): Promise<void> {
    this.tick();
    return Promise.resolve();
  }

  protected override async onStop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    const {name, store, log} = this.options;
    try {
      await store.transact({
        conditions: [this.keyCondition],
        puts: [],
        removals: [KNOWN_PROXY_PREFIX + name],
      });
      if (this.lease !== undefined) await store.revokeLease(this.lease.id);
    } catch (error) {
      log.warn('The view lease could not be revoked; it will expire.', {
        error: String(error),
      });
    }
  }

  /**
   * Condition that the key was not written since. A call that is executed after
   * its caller gave up must neither publish an older lease nor remove a later
   * incarnation of this proxy from the list, because no change of primary would
   * wait for it then.
   */
  private get keyCondition(): StoreTransaction['conditions'][number] {
    const {name, keyRevision} = this.options;
    const revision = this.writtenRevision ?? keyRevision();
    return {key: KNOWN_PROXY_PREFIX + name, revision};
  }

  private tick(): void {
    if (this.isStopped) return;
    this.dropSilentLease();
    const {lease} = this;
    if (lease?.publishedAtMs === undefined) void this.acquire();
    else if (lease.pendingRenewals < MAXIMUM_PENDING_CALLS)
      void this.renew(lease);
    const intervalMs = Math.max(
      MINIMUM_INTERVAL_MS,
      this.options.proxyCount() * INTERVAL_PER_PROXY_MS,
    );
    this.timer = setTimeout(() => this.tick(), intervalMs);
  }

  /** Drops a lease whose renewals get no response, so that it expires. */
  private dropSilentLease(): void {
    const {lease} = this;
    if (lease?.publishedAtMs === undefined) return;
    const silenceMs = steadyNowMs() - lease.answeredAtMs;
    if (silenceMs <= MAXIMUM_SILENCE_MS) return;
    this.options.log.warn(
      'The renewals of the view lease get no response; requesting another.',
      {lease: lease.id, silenceMs: Math.round(silenceMs)},
    );
    this.lease = undefined;
    this.options.onDropped();
  }

  /**
   * Requests a lease and publishes it. Does not wait for earlier requests,
   * because the store may never respond to them.
   */
  private async acquire(): Promise<void> {
    if (this.isPublishing || this.pendingGrants >= MAXIMUM_PENDING_CALLS)
      return;
    this.pendingGrants += 1;
    try {
      const {leaseId} = await this.options.store.grantLease(LEASE_TTL_MS);
      // If an earlier request was granted meanwhile, this lease is left to expire.
      if (this.isPublishing || this.isPublished || this.isStopped) return;
      await this.publish(leaseId);
    } catch (error) {
      this.failed('The view lease could not be obtained.', error);
    } finally {
      this.pendingGrants -= 1;
    }
  }

  /** Names a lease in the key of this proxy, and uses it from then on. */
  private async publish(leaseId: number): Promise<void> {
    const {name, store} = this.options;
    this.isPublishing = true;
    try {
      const lease: ViewLease = {
        id: leaseId,
        publishedAtMs: undefined,
        isConfirmed: false,
        answeredAtMs: steadyNowMs(),
        pendingRenewals: 0,
      };
      this.lease = lease;
      const result = await store.transact({
        conditions: [this.keyCondition],
        puts: [
          {
            key: KNOWN_PROXY_PREFIX + name,
            value: knownProxyValue(store.generation, leaseId),
            leaseId: 0,
          },
        ],
      });
      if (result.kind !== 'committed') {
        this.writtenRevision = undefined;
        this.options.onRecordsNeeded();
        return;
      }
      this.writtenRevision = result.revision;
      lease.publishedAtMs = steadyNowMs();
      lease.answeredAtMs = lease.publishedAtMs;
      this.firstPublishedAtMs = Math.min(
        this.firstPublishedAtMs,
        lease.publishedAtMs,
      );
      this.options.onRecordsNeeded();
    } finally {
      this.isPublishing = false;
    }
  }

  private async renew(lease: ViewLease): Promise<void> {
    const sentAt = readClocks();
    lease.pendingRenewals += 1;
    try {
      const isAlive = await this.options.store.renewLease(lease.id);
      if (lease !== this.lease) return;
      lease.answeredAtMs = steadyNowMs();
      if (!isAlive) this.handleLeaseLost();
      else if (lease.isConfirmed) this.options.onRenewed(sentAt);
      else this.options.onRecordsNeeded();
    } catch (error) {
      this.failed('The view lease could not be renewed.', error);
    } finally {
      lease.pendingRenewals -= 1;
    }
  }

  /**
   * Drops the lease: the restored store may have granted its id to another
   * proxy, and no change of primary waits for this proxy until it is published
   * again.
   */
  private onStoreRestored(): void {
    this.lease = undefined;
    this.writtenRevision = undefined;
    this.firstPublishedAtMs = Infinity;
  }

  private handleLeaseLost(): void {
    this.options.log.warn('The view lease has expired; requesting another.', {
      lease: this.lease?.id,
    });
    this.lease = undefined;
    if (!this.isStopped) void this.acquire();
  }

  private failed(message: string, error: unknown): void {
    if (!(error instanceof SapphiregladeError)) throw error;
    this.options.log.debug(message, {error: error.message});
  }
}
