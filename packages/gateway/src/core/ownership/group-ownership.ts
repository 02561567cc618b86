import type {OwnerCandidate} from '@sapphireglade/decisions';
import {planOwners} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {InstanceDirectory} from '../directory/index.js';
import type {MemberList} from '../membership/index.js';
import {steadyNowMs} from '../time/index.js';

/** How long this proxy must have been listed before it owns anything in a fleet that starts for the first time, in milliseconds; the others are listed by then. */
const SETTLE_MS = 1_000;

/** What the ownership is computed from. */
export interface GroupOwnershipOptions {
  readonly self: string;
  readonly members: MemberList;
  readonly directory: InstanceDirectory;
  readonly configuration: LatestConfiguration;
  readonly regionOf: (zone: string) => string;
  /** Whether the fleet ran before this process started, so that its list is whole. */
  readonly hasEarlierProxies: () => boolean;
  readonly log: Logger;
}

/** A plan, and what it was computed from. */
interface CachedOwners {
  readonly cacheKey: string;
  readonly owners: readonly string[];
}

/**
 * Which proxies own which group, as this proxy sees it.
 *
 * Two proxies may disagree for a moment. That is safe: owners act on views
 * that count by themselves, and a limit on connections is kept by a share that
 * nobody holds and by the instances.
 */
export class GroupOwnership {
  private readonly plans = new Map<string, CachedOwners>();
  private readonly owned = new Set<string>();
  private candidates: OwnerCandidate[] | undefined;
  private memberVersion = 0;
  private listedSinceMs: number | undefined;
  private isFrozen = false;

  constructor(private readonly options: GroupOwnershipOptions) {
    options.members.changes$.subscribe(() => {
      this.candidates = undefined;
      this.memberVersion += 1;
    });
  }

  /** Names of the proxies that own a group. */
  ownersOf(group: string): readonly string[] {
    const {directory, configuration} = this.options;
    const zones = directory
      .findByGroup(group)
      .map(({availabilityZone}) => availabilityZone)
      .sort();
    const limit =
      configuration.current?.groups.get(group)?.connectionLimit ?? 0;
    const version = `${this.memberVersion} ${directory.zoneVersion}`;
    const fingerprint = `${version} ${limit} ${zones.join(' ')}`;
    const known = this.plans.get(group);
    if (known?.cacheKey === fingerprint) return known.owners;
    const owners = planOwners({
      group,
      zones,
      connectionLimit: limit,
      candidates: this.liveCandidates(),
      countGroupsIn: zone => this.options.directory.countGroupsInZone(zone),
      regionOf: this.options.regionOf,
    });
    this.plans.set(group, {cacheKey: fingerprint, owners});
    return owners;
  }

  /** Whether this proxy owns a group. */
  isOwned(group: string): boolean {
    return this.owned.has(group);
  }

  /** Whether this proxy owns any group. */
  get ownsAny(): boolean {
    return this.owned.size > 0;
  }

  /** Keeps what is owned as it is, because this proxy stops. */
  freeze(): void {
    this.isFrozen = true;
  }

  /**
   * Takes in who owns what at present.
   *
   * @param groups - Names of all declared groups.
   */
  update(groups: Iterable<string>): void {
    if (this.isFrozen) return;
    const isSettled = this.isSettled();
    for (const group of groups) {
      const isOwner =
        isSettled && this.ownersOf(group).includes(this.options.self);
      if (isOwner === this.owned.has(group)) continue;
      if (isOwner) this.owned.add(group);
      else this.owned.delete(group);
      this.options.log.info(
        isOwner
          ? 'This proxy owns a group now.'
          : 'This proxy does not own a group any more.',
        {group, owners: this.ownersOf(group).join(' ')},
      );
    }
  }

  /** Whether the list of members has had time to fill since this proxy was on it. */
  private isSettled(): boolean {
    const {members, self} = this.options;
    if (members.find(self) !== undefined) this.listedSinceMs ??= steadyNowMs();
    if (this.listedSinceMs === undefined) return false;
    const listedMs = steadyNowMs() - this.listedSinceMs;
    return this.options.hasEarlierProxies() || listedMs >= SETTLE_MS;
  }

  private liveCandidates(): readonly OwnerCandidate[] {
    this.candidates ??= this.options.members.records.map(
      ({name, availabilityZone, capacity}) => ({
        name,
        availabilityZone,
        region: this.options.regionOf(availabilityZone),
        capacity,
      }),
    );
    return this.candidates;
  }
}
