import type {VersionedPrimaryRecord} from '../groups/index.js';
import {VIEW_VALIDITY_MS} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/** Added to the validity of views, for clocks that run at other speeds, in milliseconds. */
const CLOCK_DRIFT_MARGIN_MS = 100;

/** How long a live proxy may take to say that it let go before its lease is ended, in milliseconds; five answers of a store that works. */
const RELEASE_GRACE_PERIOD_MS = 250;

/** Pause between two looks at what is missing, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/**
 * Takes an old primary out of use at every proxy, once the record says so.
 *
 * A proxy that has taken the record in says so. The lease of any other one is
 * ended, after which it cannot prolong its view by the store; its last view
 * runs out within the validity of views.
 */
export class ViewRevocation {
  /** When the lease of each silent proxy was ended, in milliseconds of the steady clock. */
  private readonly revokedAtMs = new Map<string, number>();
  private readonly revoking = new Set<string>();
  private readonly beganAtMs = steadyNowMs();
  private readonly timer: NodeJS.Timeout;

  /**
   * Begins at once.
   *
   * @param context - What the change works with.
   * @param group - Name of the group.
   * @param known - The record that takes the old primary out of use.
   */
  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: string,
    private readonly known: VersionedPrimaryRecord,
  ) {
    this.timer = setInterval(() => this.revokeLeases(), POLL_INTERVAL_MS);
    this.revokeLeases();
  }

  /** Ends no more leases. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Proxies that have not said that they let go. */
  get silent(): string[] {
    const {knownProxies, releases, self} = this.context;
    const {revision} = this.known;
    return knownProxies.names
      .filter(name => name !== self)
      .filter(name => !releases.hasReleased(this.group, name, revision));
  }

  /**
   * Says whether no proxy can use the old primary any more.
   *
   * A proxy that is cut off from the store proves its view by the old primary
   * and a replica, which it cannot do any more once these were held.
   *
   * @param heldAtMs - When an instance was last held, in milliseconds of the
   *   steady clock.
   * @param ignoresReleases - Whether proxies that have let go may have found
   *   another primary since, which nobody took out of use.
   */
  isComplete(heldAtMs: number, ignoresReleases: boolean): boolean {
    if (!this.isUpToDate) return false;
    const {silent} = this;
    if (silent.length === 0 && !ignoresReleases) return true;
    let sinceMs = heldAtMs;
    for (const name of silent) {
      const endedAtMs = this.revokedAtMs.get(name);
      if (endedAtMs === undefined) return false;
      sinceMs = Math.max(sinceMs, endedAtMs);
    }
    // Only the steady clock may shorten a wait; the time of day may jump ahead.
    return steadyNowMs() - sinceMs >= VIEW_VALIDITY_MS + CLOCK_DRIFT_MARGIN_MS;
  }

  /** Proxies may have published themselves just before the record was written. */
  private get isUpToDate(): boolean {
    return this.context.followedRevision() >= this.known.revision;
  }

  private revokeLeases(): void {
    if (!this.isUpToDate) return;
    const isGraceOver =
      steadyNowMs() - this.beganAtMs >= RELEASE_GRACE_PERIOD_MS;
    for (const name of this.silent) {
      const isAway = this.context.members.find(name) === undefined;
      const isDue = (isAway || isGraceOver) && !this.revokedAtMs.has(name);
      if (isDue && !this.revoking.has(name)) void this.revokeLease(name);
    }
  }

  private async revokeLease(name: string): Promise<void> {
    const {store, knownProxies, log} = this.context;
    const lease = knownProxies.leaseOf(name);
    this.revoking.add(name);
    try {
      if (lease !== undefined) await store.revokeLease(lease);
      this.revokedAtMs.set(name, steadyNowMs());
      log.info('A proxy has not let go of the old primary; its lease ended.', {
        group: this.group,
        member: name,
        lease,
        revision: this.known.revision,
      });
    } catch (error) {
      log.info(
        'The lease of a silent proxy could not be ended; trying again.',
        {
          group: this.group,
          member: name,
          error: String(error),
        },
      );
    } finally {
      this.revoking.delete(name);
    }
  }
}
