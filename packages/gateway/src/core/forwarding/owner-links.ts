import type {ProxyLocation, OwnerEndpoint} from '@sapphireglade/decisions';
import {chooseOwner} from '@sapphireglade/decisions';
import type {LinkContext} from '@sapphireglade/protocol';
import {LinkDialer} from '@sapphireglade/protocol';
import type {MemberRecord, MemberList} from '../membership/index.js';
import {steadyNowMs} from '../time/index.js';
import {OwnerPeer} from './owner-peer.js';

/** What the links are made from. */
export interface OwnerLinksOptions {
  readonly self: string;
  readonly location: ProxyLocation;
  readonly members: MemberList;
  readonly regionOf: (zone: string) => string;
  readonly linkContext: LinkContext;
  /** Names of the proxies that own a group. */
  readonly ownersOf: (group: string) => readonly string[];
}

/** The links of this proxy to the owners of groups, opened when needed. */
export class OwnerLinks {
  private readonly peers = new Map<string, OwnerPeer>();
  /** Which proxy was last chosen for what any owner can tell. */
  private lastChosenOwner: string | undefined;
  /** Availability zone of each group's primary, as owners say. */
  private readonly primaryZones = new Map<string, string>();

  constructor(private readonly options: OwnerLinksOptions) {
    options.members.changes$.subscribe(() => this.removeStalePeers());
  }

  /** Links that are open. */
  get open(): number {
    return [...this.peers.values()].filter(({isOpen}) => isOpen).length;
  }

  /** Whether any other proxy owns a group. */
  hasOwner(group: string): boolean {
    return this.otherOwners(group).length > 0;
  }

  /**
   * Chooses an owner of a group.
   *
   * @param group - The group.
   * @param tried - Owners that are not asked again.
   * @param needsPrimary - Whether only the primary can serve the statement;
   *   an owner near it saves round trips.
   */
  selectOwner(
    group: string,
    tried: ReadonlySet<string>,
    needsPrimary: boolean,
  ): OwnerPeer | undefined {
    const place = needsPrimary
      ? this.primaryLocation(group)
      : this.options.location;
    const names = this.otherOwners(group).filter(name => !tried.has(name));
    return this.selectAmong(names, place);
  }

  /**
   * Chooses a proxy that owns any group, the one chosen before if it still does.
   *
   * @param groups - Names of all groups.
   */
  selectAnyOwner(groups: Iterable<string>): OwnerPeer | undefined {
    const names = new Set(
      [...groups].flatMap(group => this.otherOwners(group)),
    );
    const known = this.peers.get(this.lastChosenOwner ?? '');
    const isUsable =
      known !== undefined &&
      names.has(known.name) &&
      known.load.avoidUntilMs <= steadyNowMs();
    if (isUsable) return known;
    const chosen = this.selectAmong([...names], this.options.location);
    this.lastChosenOwner = chosen?.name;
    return chosen;
  }

  private selectAmong(
    names: readonly string[],
    place: ProxyLocation,
  ): OwnerPeer | undefined {
    const peers = names.flatMap(name => this.peer(name) ?? []);
    const options = peers.map(peer => this.toOwnerEndpoint(peer));
    const chosen = chooseOwner(options, place, steadyNowMs(), Math.random);
    return peers.find(({name}) => name === chosen?.name);
  }

  /** Whether a group's primary is in another region, with an owner there. */
  hasOwnerNearRemotePrimary(group: string, zone: string | undefined): boolean {
    if (zone === undefined) return false;
    const {members, regionOf, location: place} = this.options;
    const region = regionOf(zone);
    if (region === place.region) return false;
    return this.otherOwners(group).some(name => {
      const record = members.find(name);
      return record && regionOf(record.availabilityZone) === region;
    });
  }

  /** Takes in in which availability zone a group's primary is. */
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
    const known = this.peers.get(name);
    if (known !== undefined) return known;
    const record = this.options.members.find(name);
    if (record === undefined) return undefined;
    const peer = new OwnerPeer(
      record,
      createDialer(record, this.options.linkContext),
    );
    this.peers.set(name, peer);
    return peer;
  }

  /** A proxy that started again may listen elsewhere. */
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
