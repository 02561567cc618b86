import {createHash} from 'node:crypto';
import type {
  ExpectedMember,
  ListedVm,
  MemberRecord,
  MembershipEvent,
  MembershipState,
} from '@sapphireglade/decisions';
import {
  activeMembers,
  applyMembershipEvent,
  createMembership,
  contactableMembers,
  hasRunEnded,
  reachabilityOf,
} from '@sapphireglade/decisions';
import type {MemberStatus} from '@sapphireglade/protocol';
import type {MemberNode, ProxyContext} from '../context/index.js';

/** Length of the digest of a VM list, in characters. */
const DIGEST_LENGTH = 12;

/** Tracks the listed and reachable entry VMs and publishes the members. */
export class MembershipTracker {
  private state: MembershipState;
  private vms: readonly ListedVm[] = [];
  private listDigest = '';
  private publishedJson = '';

  /** @param context - Receives each change of the members. */
  constructor(private readonly context: ProxyContext) {
    const {vm, zone, region, address} = context.settings;
    this.state = createMembership(
      {name: vm, zone, region, address},
      context.identity.boot,
      performance.now(),
    );
  }

  /** The platform's VM list, as last read or received from a peer. */
  get vmList(): readonly ListedVm[] {
    return this.vms;
  }

  /** Digest of the VM list; empty if there is none yet. */
  get vmListDigest(): string {
    return this.listDigest;
  }

  /** Whether the platform's VM list contains this VM. */
  get isSelfListed(): boolean {
    return this.vms.some(({name}) => name === this.state.self);
  }

  /** Applies the platform's VM list. */
  applyVmList(vms: readonly ListedVm[]): void {
    const sorted = [...vms].sort((left, right) =>
      left.name < right.name ? -1 : 1,
    );
    this.vms = sorted;
    this.listDigest = createHash('sha256')
      .update(JSON.stringify(sorted))
      .digest('hex')
      .slice(0, DIGEST_LENGTH);
    this.applyEvent({type: 'list-read', vms});
  }

  /** Applies an event and publishes the members if they changed. */
  applyEvent(event: MembershipEvent): void {
    this.state = applyMembershipEvent(this.state, event, performance.now());
    this.publishIfChanged();
  }

  /** Publishes the members if they changed, for example by a timeout. */
  publishIfChanged(): void {
    const nodes = this.nodes();
    const text = JSON.stringify(nodes);
    if (text === this.publishedJson) return;
    this.publishedJson = text;
    this.context.members.next(nodes);
  }

  /** Returns the names of contactable proxies by zone, this one included. */
  listContactableByZone(): Map<string, string[]> {
    const byZone = new Map<string, string[]>();
    const now = performance.now();
    for (const record of contactableMembers(this.state, now)) {
      if (record.isStopping || record.listed === 'absent') continue;
      byZone.set(record.zone, [
        ...(byZone.get(record.zone) ?? []),
        record.name,
      ]);
    }
    return byZone;
  }

  /** Returns the proxies of a zone whose reports are expected. */
  expected(zone: string): ExpectedMember[] {
    return this.records()
      .filter(record => record.zone === zone && !record.isStopping)
      .filter(
        record => record.listed !== 'absent' || record.name === this.state.self,
      )
      .map(({name, listedSinceMs}) => ({name, sinceMs: listedSinceMs}));
  }

  /** Counts the listed VMs of each zone. */
  countVmsByZone(): Map<string, number> {
    const sizes = new Map<string, number>();
    for (const {zone, listed} of this.records()) {
      if (listed === 'absent') continue;
      sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
    }
    return sizes;
  }

  /** Returns whether a process run on a VM is known to have ended. */
  hasRunEnded(name: string, boot: string): boolean {
    return hasRunEnded(this.state, name, boot, performance.now());
  }

  /** Describes the members for operators. */
  describeMembers(): MemberStatus[] {
    const now = performance.now();
    return this.records().map(record => ({
      name: record.name,
      zone: record.zone,
      region: record.region,
      address: record.address,
      listed: record.listed,
      reachability: reachabilityOf(this.state, record, now),
      boot: record.boot ?? null,
      isStopping: record.isStopping,
    }));
  }

  private nodes(): MemberNode[] {
    const active = new Set(
      activeMembers(this.state, performance.now()).map(({name}) => name),
    );
    return this.records()
      .filter(record => record.listed !== 'absent' || active.has(record.name))
      .map(({name, zone, region, address}) => ({
        name,
        zone,
        region,
        address,
        isLeaving: !active.has(name),
      }));
  }

  private records(): MemberRecord[] {
    return [...this.state.members.values()];
  }
}
