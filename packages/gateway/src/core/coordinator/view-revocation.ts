import type {VersionedPrimaryRecord} from '../groups/index.js';
import {VIEW_VALIDITY_MS} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import {recordLeastReleased} from './acknowledged-commits.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/**
 * Margin added to the validity of views for clocks of different speeds, in
 * milliseconds.
 */
const CLOCK_DRIFT_MARGIN_MS = 100;

/**
 * How long a live proxy may take to publish its release before its lease is
 * revoked, in milliseconds; five response times of a store in normal operation.
 */
const RELEASE_GRACE_PERIOD_MS = 250;

/** Interval between two checks of the releases, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/**
 * Ensures that no proxy uses an old primary after the record has taken it out
 * of use.
 *
 * A proxy that has applied the record publishes a release. The lease of every
 * other proxy is revoked, after which it cannot extend its view through the
 * store; its last view expires within the validity of views.
 */
export class ViewRevocation {
  /**
   * Time at which the lease of each unreleased proxy was revoked, in
   * milliseconds of the steady clock.
   */
  private readonly revokedAtMs = new Map<string, number>();
  private readonly revoking = new Set<string>();
  /** Since when every proxy has published its release, in milliseconds of the steady clock. */
  private releasedAtMs: number | undefined;
  private readonly beganAtMs = steadyNowMs();
  private readonly timer: NodeJS.Timeout;

  /**
   * Starts the revocation immediately.
   *
   * @param context - Dependencies of the primary change.
   * @param group - Name of the group.
   * @param known - The record that takes the old primary out of use.
   */
  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: string,
    private readonly known: VersionedPrimaryRecord,
  ) {
    this.timer = setInterval(() => this.checkReleases(), POLL_INTERVAL_MS);
    this.checkReleases();
  }

  /** Stops revoking leases. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Names of the proxies that have not published their release. */
  get silent(): string[] {
    const {knownProxies, releases, self} = this.context;
    return knownProxies.names
      .filter(name => name !== self)
      .filter(name => !releases.hasReleased(this.group, name, this.known));
  }

  /**
   * Returns since when no proxy can use the old primary any more, in milliseconds
   * of the steady clock; undefined while one may.
   *
   * A proxy without access to the store verifies its view with the old primary
   * and a replica. This fails once they are held.
   *
   * @param heldAtMs - Time of the last hold of an instance, in milliseconds of
   *   the steady clock.
   * @param ignoresReleases - Whether proxies that have released the old primary
   *   may have discovered another primary since, which no record has taken out
   *   of use.
   * @param hasSteppedDown - Whether the old primary has stepped down. Otherwise
   *   it may still commit in a planned change, which proxies acknowledge for a
   *   while.
   */
  completeSinceMs(
    heldAtMs: number,
    ignoresReleases: boolean,
    hasSteppedDown = false,
  ): number | undefined {
    if (!this.isUpToDate) return undefined;
    const {silent} = this;
    if (silent.length > 0) this.releasedAtMs = undefined;
    else this.releasedAtMs ??= steadyNowMs();
    if (this.releasedAtMs !== undefined && !ignoresReleases) {
      const mayCommit = this.known.record.isPlanned === true && !hasSteppedDown;
      return pastOrUndefined(
        mayCommit ? endOfViews(this.releasedAtMs) : this.releasedAtMs,
      );
    }
    let startMs = heldAtMs;
    for (const name of silent) {
      const leaseRevokedAtMs = this.revokedAtMs.get(name);
      if (leaseRevokedAtMs === undefined) return undefined;
      startMs = Math.max(startMs, leaseRevokedAtMs);
    }
    return pastOrUndefined(endOfViews(startMs));
  }

  /**
   * Whether the list of known proxies is at least as new as the record; a proxy
   * may have published its key just before the record was written.
   */
  private get isUpToDate(): boolean {
    const {store, followedRevision} = this.context;
    const {generation = store.generation, revision} = this.known;
    return store.generation === generation && followedRevision() >= revision;
  }

  private checkReleases(): void {
    recordLeastReleased(this.context, this.group);
    this.revokeLeases();
  }

  private revokeLeases(): void {
    if (!this.isUpToDate) return;
    const isGraceOver =
      steadyNowMs() - this.beganAtMs >= RELEASE_GRACE_PERIOD_MS;
    for (const name of this.silent) {
      const isOffline = this.context.members.find(name) === undefined;
      const isDue = (isOffline || isGraceOver) && !this.revokedAtMs.has(name);
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
      log.info(
        'A proxy has not released the old primary; its lease was revoked.',
        {
          group: this.group,
          member: name,
          lease,
          revision: this.known.revision,
        },
      );
    } catch (error) {
      log.info(
        'The lease of a proxy that has not released the old primary could not be revoked; retrying.',
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

/** Returns when the views that were valid at a time of the steady clock have expired, in milliseconds. */
function endOfViews(startMs: number): number {
  return startMs + VIEW_VALIDITY_MS + CLOCK_DRIFT_MARGIN_MS;
}

/**
 * Returns a time if it has passed. Only the steady clock may tell, because the
 * wall clock may jump ahead.
 */
function pastOrUndefined(timeMs: number): number | undefined {
  return steadyNowMs() >= timeMs ? timeMs : undefined;
}
