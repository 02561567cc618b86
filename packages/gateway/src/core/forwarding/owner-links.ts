import type {ProxyLocation, OwnerEndpoint} from '@sapphireglade/decisions';
import {chooseOwner} from '@sapphireglade/decisions';
import type {LinkContext} from '@sapphireglade/protocol';
import {LinkDialer} from '@sapphireglade/protocol';
import type {MemberRecord, MemberList} from '../membership/index.js';
import {steadyNowMs} from '../time/index.js';
import {OwnerPeer} from './owner-peer.js';

/** Dependencies and settings of the links. */
export interface OwnerLinksOptions {
  readonly self: string;
  readonly location: ProxyLocation;
  readonly members: MemberList;
  readonly regionOf: (zone: string) => string;
  readonly linkContext: LinkContext;
  /** Returns the names of the proxies that own a group. */
  readonly ownersOf: (group: string) => readonly string[];
}

/** The links of this proxy to the owners of groups, opened on demand. */
export class OwnerLinks {
  private readonly peers = new Map<string, OwnerPeer>();
  /** The proxy that was last chosen for a request that any owner can answer. */
  private lastChosenOwner: string | undefined;
  /** The proxy that is not chosen for such a request, unless it is the only one. */
  private avoidedOwner: string | undefined;
  /** Availability zone of each group's primary, as reported by owners. */
  private readonly primaryZones = new Map<string, string>();

  constructor(private readonly options: OwnerLinksOptions) {
    options.members.changes$.subscribe(() => this.removeStalePeers());
  }

  /** Number of open links. */
  get open(): number {
    return [...this.peers.values()].filter(({isOpen}) => isOpen).length;
  }

  /** Returns whether any other proxy owns a group. */
  hasOwner(group: string): boolean {
    return this.otherOwners(group).length > 0;
  }

  /** Returns whether another proxy owns a group and has not failed to answer last. */
  hasReachableOwner(group: string): boolean {
    return this.otherOwners(group).some(
      name => this.peers.get(name)?.isFailing !== true,
    );
  }

  /** Returns the other owners of a group; undefined for one that is no longer listed. */
  otherOwnersOf(group: string): Array<OwnerPeer | undefined> {
    return this.otherOwners(group).map(name => this.peer(name));
  }

  /**
   * Chooses an owner of a group.
   *
   * @param group - The group.
   * @param tried - Owners to skip, because they were already tried.
   * @param needsPrimary - Whether only the primary can serve the statement. An
   *   owner near the primary saves round trips then.
   */
  selectOwner(
    group: string,
    tried: ReadonlySet<string>,
    needsPrimary: boolean,
  ): OwnerPeer | undefined {
    const location = needsPrimary
      ? this.primaryLocation(group)
      : this.options.location;
    const names = this.otherOwners(group).filter(name => !tried.has(name));
    return this.selectAmong(names, location);
  }

  /**
   * Chooses a proxy that owns any group, preferably the one chosen before.
   *
   * @param groups - Names of all groups.
   */
  selectAnyOwner(groups: Iterable<string>): OwnerPeer | undefined {
    const names = new Set(
      [...groups].flatMap(group => this.otherOwners(group)),
    );
    const previous = this.peers.get(this.lastChosenOwner ?? '');
    const isUsable =
      previous !== undefined &&
      names.has(previous.name) &&
      previous.load.avoidUntilMs <= steadyNowMs();
    if (isUsable) return previous;
    const others = [...names].filter(name => name !== this.avoidedOwner);
    const chosen = this.selectAmong(
      others.length > 0 ? others : [...names],
      this.options.location,
    );
    this.lastChosenOwner = chosen?.name;
    return chosen;
  }

  /** Makes the next request that any owner can answer go to another one, if there is one. */
  changeAnyOwner(): void {
    this.avoidedOwner = this.lastChosenOwner;
    this.lastChosenOwner = undefined;
  }

  private selectAmong(
    names: readonly string[],
    location: ProxyLocation,
  ): OwnerPeer | undefined {
    const peers = names.flatMap(name => this.peer(name) ?? []);
    const endpoints = peers.map(peer => this.toOwnerEndpoint(peer));
    const chosen = chooseOwner(endpoints, location, steadyNowMs(), Math.random);
    return peers.find(({name}) => name === chosen?.name);
  }

  /** Returns whether a group's primary is in another region that has an owner of the group. */
  hasOwnerNearRemotePrimary(group: string, zone: string | undefined): boolean {
    if (zone === undefined) return false;
    const {members, regionOf, location} = this.options;
    const region = regionOf(zone);
    if (region === location.region) return false;
    return this.otherOwners(group).some(name => {
      const record = members.find(name);
      return record && regionOf(record.availabilityZone) === region;
    });
  }

  /** Records the availability zone of a group's primary. */
  recordPrimaryZone(group: string, zone: string | undefined): void {
    if (zone !== undefined) this.primaryZones.set(group, zone);
  }

  /** Closes every link. */
  close(): void {
    for (const peer of this.peers.values()) peer.stop();
    this.peers.clear();
  }

  private primaryLocation(group: string): ProxyLocation {
    const zone = this.primaryZones.get(group);
    if (zone === undefined) return this.options.location;
    return {availabilityZone: zone, region: this.options.regionOf(zone)};
  }

  private otherOwners(group: string): readonly string[] {
    const {self, ownersOf} = this.options;
    return ownersOf(group).filter(name => name !== self);
  }

  private toOwnerEndpoint({name, record, load}: OwnerPeer): OwnerEndpoint {
    const {availabilityZone} = record;
    const region = this.options.regionOf(availabilityZone);
    return {name, availabilityZone, region, ...load};
  }

  private peer(name: string): OwnerPeer | undefined {
    const existing = this.peers.get(name);
    if (existing !== undefined) return existing;
    const record = this.options.members.find(name);
    if (record === undefined) return undefined;
    const peer = new OwnerPeer(
      record,
      createDialer(record, this.options.linkContext),
    );
    this.peers.set(name, peer);
    return peer;
  }

  /** Retires the peers that have left or restarted; a restarted proxy may listen on another address. */
  private removeStalePeers(): void {
    for (const [name, peer] of this.peers) {
      const record = this.options.members.find(name);
      if (record?.incarnation === peer.record.incarnation) continue;
      this.peers.delete(name);
      peer.retire();
    }
  }
}

function createDialer(
  {peerAddress}: MemberRecord,
  context: LinkContext,
): LinkDialer {
  const colon = peerAddress.lastIndexOf(':');
  const address = peerAddress.slice(0, colon);
  return new LinkDialer(
    {address, port: Number(peerAddress.slice(colon + 1))},
    context,
  );
}
