import type {OwnerCandidate} from '@sapphireglade/decisions';
import {planOwners} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {Subject} from 'rxjs';
import type {LatestConfiguration} from '../configuration/index.js';
import type {InstanceDirectory} from '../directory/index.js';
import type {MemberList} from '../membership/index.js';
import {steadyNowMs, wholeMilliseconds} from '../time/index.js';

/**
 * How long this proxy must have been listed before it owns a group in a fleet
 * that starts for the first time, in milliseconds; the other proxies are listed
 * by then.
 */
const SETTLE_MS = 1_000;

/** Dependencies of the group ownership. */
export interface GroupOwnershipOptions {
  readonly self: string;
  readonly members: MemberList;
  readonly directory: InstanceDirectory;
  readonly configuration: LatestConfiguration;
  readonly regionOf: (zone: string) => string;
  /**
   * Returns whether the fleet ran before this process started, so that its list
   * of members is complete.
   */
  readonly hasEarlierProxies: () => boolean;
  readonly log: Logger;
}

/**
 * The planned owners of a group, and the key of the inputs they were computed
 * from.
 */
interface CachedOwners {
  readonly cacheKey: string;
  readonly owners: readonly string[];
}

/**
 * The owners of each group as computed by this proxy.
 *
 * Two proxies may disagree for a moment. That is safe: each owner acts only on
 * views that are valid by themselves, and the limit on connections is enforced
 * by a reserved share that no proxy holds and by the instances.
 */
export class GroupOwnership {
  private readonly plans = new Map<string, CachedOwners>();
  private readonly owned = new Set<string>();
  private candidates: OwnerCandidate[] | undefined;
  private memberVersion = 0;
  private listedSinceMs: number | undefined;
  private isFrozen = false;
  private readonly acquisitions = new Subject<string>();

  constructor(private readonly options: GroupOwnershipOptions) {
    options.members.changes$.subscribe(() => {
      this.candidates = undefined;
      this.memberVersion += 1;
    });
  }

  /** Emits the name of each group that this proxy begins to own. */
  get acquired$(): Subject<string> {
    return this.acquisitions;
  }

  /** Returns the names of the proxies that own a group. */
  ownersOf(group: string): readonly string[] {
    const {directory, configuration} = this.options;
    const zones = directory
      .findByGroup(group)
      .map(({availabilityZone}) => availabilityZone)
      .sort();
    const limit =
      configuration.current?.groups.get(group)?.connectionLimit ?? 0;
    const version = `${this.memberVersion} ${directory.zoneVersion}`;
    const cacheKey = `${version} ${limit} ${JSON.stringify(zones)}`;
    const cached = this.plans.get(group);
    if (cached?.cacheKey === cacheKey) return cached.owners;
    const owners = planOwners({
      group,
      zones,
      connectionLimit: limit,
      candidates: this.liveCandidates(),
      countGroupsIn: zone => this.options.directory.countGroupsInZone(zone),
      regionOf: this.options.regionOf,
    });
    this.plans.set(group, {cacheKey, owners});
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

  /** Stops changing the owned groups, because this proxy is stopping. */
  freeze(): void {
    this.isFrozen = true;
  }

  /**
   * Updates the groups that this proxy owns.
   *
   * @param groups - Names of all declared groups.
   */
  update(groups: Iterable<string>): void {
    if (this.isFrozen) return;
    const isSettled = this.isSettled();
    const {directory} = this.options;
    for (const group of groups) {
      const isOwner =
        isSettled && this.ownersOf(group).includes(this.options.self);
      if (isOwner === this.owned.has(group)) continue;
      if (isOwner) this.owned.add(group);
      else this.owned.delete(group);
      this.options.log.info(
        isOwner
          ? 'This proxy became an owner of a group.'
          : 'This proxy is no longer an owner of a group.',
        {
          group,
          owners: this.ownersOf(group).join(' '),
          directoryAgeMs: wholeMilliseconds(directory.ageMs),
        },
      );
      if (isOwner) this.acquisitions.next(group);
    }
  }

  /**
   * Whether this proxy has been listed for long enough that the list of members
   * is complete.
   */
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
