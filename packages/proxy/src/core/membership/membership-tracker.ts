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

/** Length of the digest of a list, in characters. */
const DIGEST_LENGTH = 12;

/** Holds what this process knows of the entry VMs. */
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

  /** The platform's list, as it was last read or heard of. */
  get vmList(): readonly ListedVm[] {
    return this.vms;
  }

  /** Digest of the list; empty if there is none yet. */
  get vmListDigest(): string {
    return this.listDigest;
  }

  /** Whether the platform's list shows this VM. */
  get isSelfListed(): boolean {
    return this.vms.some(({name}) => name === this.state.self);
  }

  /** Takes in the platform's list. */
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

  /** Takes in an event and publishes the members if they changed. */
  applyEvent(event: MembershipEvent): void {
    this.state = applyMembershipEvent(this.state, event, performance.now());
    this.publishIfChanged();
  }

  /** Publishes the members if they changed by the passing of time. */
  publishIfChanged(): void {
    const nodes = this.nodes();
    const text = JSON.stringify(nodes);
    if (text === this.publishedJson) return;
    this.publishedJson = text;
    this.context.members.next(nodes);
  }

  /** Names of the proxies worth asking, by zone; this one included. */
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

  /** The proxies of a zone whose reports are expected. */
  expected(zone: string): ExpectedMember[] {
    return this.records()
      .filter(record => record.zone === zone && !record.isStopping)
      .filter(
        record => record.listed !== 'absent' || record.name === this.state.self,
      )
      .map(({name, listedSinceMs}) => ({name, sinceMs: listedSinceMs}));
  }

  /** How many listed VMs each zone has. */
  countVmsByZone(): Map<string, number> {
    const sizes = new Map<string, number>();
    for (const {zone, listed} of this.records()) {
      if (listed === 'absent') continue;
      sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
    }
    return sizes;
  }

  /** Whether a run of a VM is known to have ended. */
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
