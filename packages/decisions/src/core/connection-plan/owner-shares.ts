import {
  ConnectionHolderTracker,
  HOLDER_RETENTION_MS,
} from './connection-holder-tracker.js';
import {assignHolderWeights, connectionShare} from './connection-share.js';
import type {ListedOwner} from './owner-history.js';
import {OwnerHistory} from './owner-history.js';
import type {DividedInstance} from './share-ledger.js';
import {grantedShare} from './share-ledger.js';

/** How long lists of owners are kept, in milliseconds; what was granted before has ended or grown to a whole share. */
const HISTORY_MS = 4 * HOLDER_RETENTION_MS;

/** How much later than another proxy a proxy may learn of a list, in milliseconds. */
const MAXIMUM_DELAY_MS = 1_000;

/** How long grants that have ended may count for other proxies, as far as this one can tell, in milliseconds. */
const POSSIBLE_RETENTIONS_MS = [
  HOLDER_RETENTION_MS - MAXIMUM_DELAY_MS,
  HOLDER_RETENTION_MS,
  HOLDER_RETENTION_MS + MAXIMUM_DELAY_MS,
];

/**
 * The shares of one proxy in the connections to the instances of a group.
 *
 * While owners change, a share is what the division among all owners of the last
 * seconds allows, and no more than what the grants of these owners leave. A
 * process that has just started knows no earlier owners: it takes the share of
 * {@link ConnectionHolderTracker}, one connection at least, so that a group whose
 * owners have all restarted is served.
 */
export class OwnerShares {
  private readonly tracker = new ConnectionHolderTracker();
  private readonly history = new OwnerHistory(HISTORY_MS);
  private readonly zones = new Map<string, string | undefined>();
  private holders: readonly string[] = [];
  private listed: ReadonlySet<string> = new Set();

  /** @param self - Name of this proxy. */
  constructor(private readonly self: string) {}

  /**
   * Records the current owners of the group.
   *
   * @param owners - The owners, with their zones.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @param earlier - Names of the proxies that ran before this process started.
   */
  update(
    owners: readonly ListedOwner[],
    nowMs: number,
    earlier: readonly string[] = [],
  ): void {
    const names = owners.map(({name}) => name);
    this.listed = new Set(names);
    this.holders = this.tracker.update(names, nowMs, earlier);
    for (const {name, availabilityZone} of owners)
      this.zones.set(name, availabilityZone);
    for (const name of this.zones.keys())
      if (!this.holders.includes(name)) this.zones.delete(name);
    this.history.record(owners, nowMs);
    if (!this.tracker.isComplete(nowMs)) this.history.forgetFormer();
  }

  /**
   * Returns how many connections to an instance this proxy may hold.
   *
   * @param instance - An instance of the group.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns The number of connections; 0 if former owners may still use all.
   */
  shareOf(instance: DividedInstance, nowMs: number): number {
    const {id, limit, availabilityZone} = instance;
    const weights = assignHolderWeights(
      limit,
      this.holders,
      name => this.zones.get(name) === availabilityZone,
      name => this.tracker.isNew(name, nowMs),
    );
    const share = connectionShare(id, limit, weights, this.self);
    const {lists} = this.history;
    // An owner that stops is no longer listed and keeps its share until then.
    if (lists.length < 2 || !this.listed.has(this.self)) return share;
    const granted = POSSIBLE_RETENTIONS_MS.map(retentionMs =>
      grantedShare(instance, lists, this.self, nowMs, retentionMs),
    );
    return Math.min(share, ...granted);
  }
}
