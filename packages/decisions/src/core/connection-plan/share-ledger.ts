import {rankNodes} from '../placement/index.js';
import {assignHolderWeights, divideConnections} from './connection-share.js';
import type {DatedOwners, ListedOwner} from './owner-history.js';

/** An instance whose connections are divided. */
export interface DividedInstance {
  /** Identifier of the instance. */
  readonly id: string;
  readonly availabilityZone: string;
  /** Connections that the owners may hold in total. */
  readonly limit: number;
}

/** The share of each owner of a list. */
type Division = ReadonlyMap<string, number>;

/** What one owner may hold, and what it may still use of former grants. */
interface Grant {
  current: number;
  readonly former: {readonly connections: number; readonly endedAtMs: number}[];
  /** Since when it has been listed; undefined if it is not listed. */
  listedSinceMs: number | undefined;
}

/**
 * Adds up what every owner of an instance was granted.
 *
 * A grant counts for a while after it has ended, because a busy owner closes a
 * connection only when its statement or transaction ends. An owner is granted
 * more only from what all grants leave, so that the sum stays within the limit
 * however often owners change. Proxies that have seen the same lists at the same
 * times have the same ledger.
 */
class ShareLedger {
  private readonly grants = new Map<string, Grant>();
  private readonly divisions = new Map<DatedOwners, Division>();

  constructor(
    private readonly instance: DividedInstance,
    private readonly retentionMs: number,
  ) {}

  /** Returns what an owner may hold. */
  currentOf(name: string): number {
    return this.grants.get(name)?.current ?? 0;
  }

  /** Assumes that the owners of the oldest list have had their shares for long. */
  assume(list: DatedOwners): void {
    for (const [name, connections] of this.divisionOf(list)) {
      const grant = this.grantOf(name);
      grant.current = connections;
      grant.listedSinceMs = list.sinceMs;
    }
  }

  /**
   * Applies the list in force at a time.
   *
   * @param list - The list.
   * @param nowMs - The time, not before that of the previous call.
   */
  apply(list: DatedOwners, nowMs: number): void {
    const {sinceMs} = list;
    const shares = this.divisionOf(list);
    for (const name of shares.keys())
      this.grantOf(name).listedSinceMs ??= sinceMs;
    for (const [name, grant] of this.grants) {
      if (!shares.has(name)) grant.listedSinceMs = undefined;
      const share = shares.get(name) ?? 0;
      setCurrent(grant, Math.min(share, this.countedOf(grant, nowMs)), nowMs);
    }
    const isSettled = nowMs - sinceMs >= this.retentionMs;
    this.grow(shares, nowMs, isSettled);
  }

  /** Grants what is left to the owners that are new, or that have been listed for long and have less than their shares. */
  private grow(shares: Division, nowMs: number, isSettled: boolean): void {
    let left = this.instance.limit;
    for (const grant of this.grants.values())
      left -= this.countedOf(grant, nowMs);
    if (left <= 0) return;
    for (const name of rankNodes(this.instance.id, [...shares.keys()])) {
      const grant = this.grantOf(name);
      const wanted = (shares.get(name) ?? 0) - grant.current;
      if (left <= 0 || wanted <= 0 || !this.mayGrow(grant, nowMs)) continue;
      // Half, because further owners may change soon.
      const part = isSettled ? left : Math.max(1, Math.floor(left / 2));
      const added = Math.min(wanted, part);
      setCurrent(grant, grant.current + added, nowMs);
      left -= added;
    }
  }

  private mayGrow({current, listedSinceMs}: Grant, nowMs: number): boolean {
    if (listedSinceMs === undefined) return false;
    return current === 0 || nowMs - listedSinceMs >= this.retentionMs;
  }

  /** Returns the connections of an owner that may be open. */
  private countedOf({current, former}: Grant, nowMs: number): number {
    return former
      .filter(({endedAtMs}) => nowMs - endedAtMs < this.retentionMs)
      .reduce((most, {connections}) => Math.max(most, connections), current);
  }

  private divisionOf(list: DatedOwners): Division {
    const known = this.divisions.get(list);
    const division = known ?? divide(this.instance, list.owners);
    this.divisions.set(list, division);
    return division;
  }

  private grantOf(name: string): Grant {
    const existing = this.grants.get(name);
    if (existing !== undefined) return existing;
    const grant: Grant = {current: 0, former: [], listedSinceMs: undefined};
    this.grants.set(name, grant);
    return grant;
  }
}

/**
 * Returns how many connections an owner may hold after owners have changed,
 * while those of before may still use what they were granted.
 *
 * @param instance - The instance.
 * @param lists - Lists of owners, oldest first. The owners of the oldest one
 *   are assumed to have had their shares for long.
 * @param self - Name of the owner.
 * @param nowMs - The time, in milliseconds of the process clock.
 * @param retentionMs - How long a grant counts after it has ended, in
 *   milliseconds.
 * @returns The number of connections; 0 if nothing is left.
 */
export function grantedShare(
  instance: DividedInstance,
  lists: readonly DatedOwners[],
  self: string,
  nowMs: number,
  retentionMs: number,
): number {
  const [oldest] = lists;
  if (oldest === undefined) return 0;
  const ledger = new ShareLedger(instance, retentionMs);
  ledger.assume(oldest);
  for (const {list, atMs} of eventsOf(lists, retentionMs)) {
    if (atMs <= nowMs) ledger.apply(list, atMs);
  }
  return ledger.currentOf(self);
}

/** Returns when lists came and when the grants that they ended no longer count, with the lists in force then. */
function eventsOf(
  lists: readonly DatedOwners[],
  retentionMs: number,
): readonly {readonly list: DatedOwners; readonly atMs: number}[] {
  const changes = lists.slice(1).map(list => ({list, atMs: list.sinceMs}));
  const ends = changes.flatMap(({atMs}) => {
    const endMs = atMs + retentionMs;
    const list = lists.findLast(({sinceMs}) => sinceMs <= endMs);
    return list === undefined ? [] : [{list, atMs: endMs}];
  });
  return [...changes, ...ends].sort((left, right) => left.atMs - right.atMs);
}

/** Ends the current grant of an owner if it changes. */
function setCurrent(grant: Grant, connections: number, nowMs: number): void {
  if (connections === grant.current) return;
  grant.former.push({connections: grant.current, endedAtMs: nowMs});
  grant.current = connections;
}

/** Divides the limit among owners of long standing. */
function divide(
  {id, availabilityZone, limit}: DividedInstance,
  owners: readonly ListedOwner[],
): Division {
  const zones = new Map(owners.map(each => [each.name, each.availabilityZone]));
  const names = [...zones.keys()].sort();
  const isNear = (name: string): boolean =>
    zones.get(name) === availabilityZone;
  const holders = assignHolderWeights(limit, names, isNear);
  const shares = divideConnections(id, limit, holders);
  return new Map(names.map(name => [name, shares.get(name) ?? 0]));
}
