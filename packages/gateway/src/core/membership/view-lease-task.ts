import type {ClockReading} from '@sapphireglade/decisions';
import {SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import type {CoordinationStore, StoreTransaction} from '../store/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import {KNOWN_PROXY_PREFIX} from './known-proxies.js';

/** How long the lease runs without a renewal, in milliseconds; a little over the shortest that the users' store grants. */
const LEASE_TTL_MS = 1_200;

/** Shortest time between two renewals, in milliseconds; a third of the validity of views, so that one may be lost. */
const MINIMUM_INTERVAL_MS = 330;

/** Added to the time between renewals for each proxy that holds one, in milliseconds, so that 640 of them make 1,250 calls a second. */
const INTERVAL_PER_PROXY_MS = 0.8;

/** Most renewals that wait for an answer; a slow store answers late, but in order. */
const MAXIMUM_PENDING_RENEWALS = 4;

/** What the task needs. */
export interface ViewLeaseOptions {
  readonly name: string;
  readonly store: CoordinationStore;
  /** Revision at which the key of this proxy was written, as far as followed; 0 if there is none. */
  readonly keyRevision: () => number;
  /** How many proxies hold such a lease. */
  readonly proxyCount: () => number;
  readonly log: Logger;
  /** Called with the time at which a renewal was sent that succeeded. */
  readonly onRenewed: (sentAt: ClockReading) => void;
  /** Called when the records have to be read anew before views count. */
  readonly onRecordsNeeded: () => void;
}

/** A lease of this proxy, and how far it has come. */
interface ViewLease {
  readonly id: number;
  /** When it was published, in milliseconds of the steady clock. */
  publishedAtMs: number | undefined;
  /** Whether the records were read since it was published. */
  isConfirmed: boolean;
}

/**
 * Keeps the lease under which this proxy acts on its views of primaries.
 *
 * A change of primary first writes its record and then ends the lease of every
 * proxy that has not taken the record in. As long as renewals succeed, nobody
 * has done so, and a view that still counts may be prolonged. A new lease
 * prolongs nothing before the records were read since it was published:
 * a change may have begun between the two leases.
 */
export class ViewLeaseTask extends SupervisedTask {
  private lease: ViewLease | undefined;
  /** When the name of this proxy was first published, in milliseconds of the steady clock. */
  private firstPublishedAtMs = Infinity;
  private timer: NodeJS.Timeout | undefined;
  /** Revision at which this process last wrote its key. */
  private writtenRevision: number | undefined;
  private isAcquiring = false;
  private pendingRenewals = 0;
  private isStopped = false;

  constructor(private readonly options: ViewLeaseOptions) {
    super('view-lease');
  }

  /** The lease, once the others know of it. */
  get leaseId(): number | undefined {
    return this.isPublished ? this.lease?.id : undefined;
  }

  /** Whether changes of primary wait for this proxy. */
  get isPublished(): boolean {
    return this.lease?.publishedAtMs !== undefined;
  }

  /**
   * Says whether every change of primary that a question has not shown waits
   * for this proxy: the others knew of it when the question was sent.
   */
  wasPublishedBefore(sentAt: ClockReading): boolean {
    return sentAt.steadyMs >= this.firstPublishedAtMs;
  }

  /** Takes in that the records were read by a question sent at a time. */
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
      log.warn('The lease for views could not be ended; it will lapse.', {
        error: String(error),
      });
    }
  }

  /**
   * That nobody has written the key since. A call that is carried out after its
   * caller has given up must neither name an older lease nor take a later life
   * of this proxy off the list: no change would wait for it then.
   */
  private get keyCondition(): StoreTransaction['conditions'][number] {
    const {name, keyRevision} = this.options;
    const revision = this.writtenRevision ?? keyRevision();
    return {key: KNOWN_PROXY_PREFIX + name, revision};
  }

  private tick(): void {
    if (this.isStopped) return;
    const {lease} = this;
    if (lease?.publishedAtMs === undefined) void this.acquire();
    else if (this.pendingRenewals < MAXIMUM_PENDING_RENEWALS)
      void this.renew(lease);
    const intervalMs = Math.max(
      MINIMUM_INTERVAL_MS,
      this.options.proxyCount() * INTERVAL_PER_PROXY_MS,
    );
    this.timer = setTimeout(() => this.tick(), intervalMs);
  }

  /** Gets a lease and publishes it. */
  private async acquire(): Promise<void> {
    if (this.isAcquiring) return;
    this.isAcquiring = true;
    const {name, store} = this.options;
    try {
      const {leaseId} = await store.grantLease(LEASE_TTL_MS);
      const lease: ViewLease = {
        id: leaseId,
        publishedAtMs: undefined,
        isConfirmed: false,
      };
      this.lease = lease;
      const result = await store.transact({
        conditions: [this.keyCondition],
        puts: [
          {key: KNOWN_PROXY_PREFIX + name, value: String(leaseId), leaseId: 0},
        ],
      });
      if (result.kind !== 'committed') {
        this.writtenRevision = undefined;
        this.options.onRecordsNeeded();
        return;
      }
      this.writtenRevision = result.revision;
      lease.publishedAtMs = steadyNowMs();
      this.firstPublishedAtMs = Math.min(
        this.firstPublishedAtMs,
        lease.publishedAtMs,
      );
      this.options.onRecordsNeeded();
    } catch (error) {
      this.failed('The lease for views could not be obtained.', error);
    } finally {
      this.isAcquiring = false;
    }
  }

  private async renew(lease: ViewLease): Promise<void> {
    const sentAt = readClocks();
    this.pendingRenewals += 1;
    try {
      const isAlive = await this.options.store.renewLease(lease.id);
      if (lease !== this.lease) return;
      if (!isAlive) this.handleLeaseLost();
      else if (lease.isConfirmed) this.options.onRenewed(sentAt);
      else this.options.onRecordsNeeded();
    } catch (error) {
      this.failed('The lease for views could not be renewed.', error);
    } finally {
      this.pendingRenewals -= 1;
    }
  }

  private handleLeaseLost(): void {
    this.options.log.warn('The lease for views has ended; getting another.', {
      lease: this.lease?.id,
    });
    this.lease = undefined;
    if (!this.isStopped) void this.acquire();
  }

  private failed(sentence: string, error: unknown): void {
    if (!(error instanceof SapphiregladeError)) throw error;
    this.options.log.debug(sentence, {error: error.message});
  }
}
