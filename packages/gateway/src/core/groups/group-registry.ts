import type {ClockReading} from '@sapphireglade/decisions';
import {
  connectionShare,
  rankNodes,
  RESERVED_CONNECTIONS,
  ConnectionHolderTracker,
  assignHolderWeights,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {
  InstanceDirectory,
  RegisteredInstance,
} from '../directory/index.js';
import type {GroupOwnership} from '../ownership/index.js';
import {InstancePool} from '../pool/index.js';
import type {InstanceConnector} from '../upstream/index.js';
import {steadyNowMs} from '../time/index.js';
import {DatabaseGroup} from './database-group.js';

/** What the registry is made from. */
export interface GroupRegistryOptions {
  readonly self: string;
  readonly configuration: LatestConfiguration;
  readonly directory: InstanceDirectory;
  readonly connector: InstanceConnector;
  readonly ownership: GroupOwnership;
  /** Availability zone of a live proxy. */
  readonly zoneOf: (name: string) => string | undefined;
  /** Names of the proxies that ran before this process started. */
  readonly earlierProxies: () => readonly string[];
  /** Whether an availability zone is in the region of this proxy. */
  readonly isInOwnRegion: (zone: string) => boolean;
  readonly log: Logger;
}

/** All groups, with connections to the instances that the directory lists. */
export class GroupRegistry {
  private readonly groups = new Map<string, DatabaseGroup>();
  private readonly shareHolders = new Map<string, ConnectionHolderTracker>();
  private readonly listeners: ((group: DatabaseGroup) => void)[] = [];

  constructor(private readonly options: GroupRegistryOptions) {
    options.directory.changes$.subscribe(() => this.reconcile());
    options.configuration.configuration$.subscribe(() => this.reconcile());
  }

  /** All groups that are known. */
  get all(): IterableIterator<DatabaseGroup> {
    return this.groups.values();
  }

  /** Finds a group. */
  find(name: string): DatabaseGroup | undefined {
    return this.groups.get(name);
  }

  /** Finds a group, or begins to keep one. */
  getOrCreate(name: string): DatabaseGroup {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const group = new DatabaseGroup(name);
    this.groups.set(name, group);
    for (const listener of this.listeners) listener(group);
    return group;
  }

  /** The groups whose connections this proxy holds. */
  get owned(): DatabaseGroup[] {
    return [...this.groups.values()].filter(({name}) =>
      this.options.ownership.isOwned(name),
    );
  }

  /** Availability zone of a group's primary, if it is known. */
  primaryZoneOf(name: string): string | undefined {
    const primary = this.groups.get(name)?.record?.record.primary;
    if (primary === undefined) return undefined;
    return this.options.directory.find(primary)?.availabilityZone;
  }

  /** Calls a listener with each group, now and later. */
  onGroup(listener: (group: DatabaseGroup) => void): void {
    this.listeners.push(listener);
    for (const group of this.groups.values()) listener(group);
  }

  /** Takes in that an answer of the store proved all records to be newest. */
  confirmAllRecords(sentAt: ClockReading): void {
    for (const group of this.groups.values()) group.confirmRecord(sentAt);
  }

  /** Prolongs every view that still counted when the question was sent. */
  extendAllViews(sentAt: ClockReading): void {
    for (const group of this.groups.values()) group.onLeaseRenewed(sentAt);
  }

  /** Brings pools and shares in line with what is declared, registered and owned. */
  reconcile(): void {
    const declared = this.options.configuration.current;
    if (declared === undefined) return;
    const {ownership, directory} = this.options;
    ownership.update(declared.groups.keys());
    for (const instance of directory.instances) {
      const isOwned = ownership.isOwned(instance.group);
      if (isOwned && declared.groups.has(instance.group))
        this.ensureMember(instance);
    }
    for (const group of this.groups.values()) {
      this.removeMissingMembers(group);
      if (!ownership.isOwned(group.name)) removeUnusedMembers(group);
    }
    this.divideConnections();
  }

  /** Divides the connection limits among the owners of each group. */
  private divideConnections(): void {
    const declared = this.options.configuration.current;
    for (const name of declared?.groups.keys() ?? []) {
      const holders = this.shareHoldersOf(name);
      const group = this.groups.get(name);
      if (group === undefined) continue;
      const limit = declared?.groups.get(name)?.connectionLimit ?? 0;
      const isOwned = this.options.ownership.isOwned(name);
      const oftenUsed = isOwned ? this.instancesToKeepWarm(group) : new Set();
      for (const {instance, pool} of group.members.values()) {
        pool.setShare(isOwned ? this.shareOf(instance, limit, holders) : 0);
        pool.shouldKeepWarm = oftenUsed.has(instance.id);
        pool.maintain();
      }
    }
  }

  /** Everybody who may hold connections of a group. */
  private shareHoldersOf(name: string): string[] {
    const {ownership, earlierProxies} = this.options;
    const sharers =
      this.shareHolders.get(name) ?? new ConnectionHolderTracker();
    this.shareHolders.set(name, sharers);
    const owners = ownership.ownersOf(name);
    return sharers.update(owners, steadyNowMs(), earlierProxies());
  }

  private shareOf(
    {id, availabilityZone}: RegisteredInstance,
    limit: number,
    names: readonly string[],
  ): number {
    const usable = limit - RESERVED_CONNECTIONS;
    const holders = assignHolderWeights(
      usable,
      names,
      name => this.options.zoneOf(name) === availabilityZone,
    );
    return connectionShare(id, usable, holders, this.options.self);
  }

  /**
   * Chooses the instances that are kept connected without need: the primary,
   * the replicas of this region, and one replica in any case, because only a
   * replica can prove a view of the primary while the store is away.
   */
  private instancesToKeepWarm(group: DatabaseGroup): ReadonlySet<string> {
    const instances = [...group.members.values()].map(
      member => member.instance,
    );
    const isPrimary = ({id, claimsPrimary}: RegisteredInstance): boolean =>
      group.record === undefined
        ? claimsPrimary
        : group.record.record.primary === id;
    const replicas = instances.filter(each => !isPrimary(each));
    const near = replicas.filter(each =>
      this.options.isInOwnRegion(each.availabilityZone),
    );
    const names = replicas.map(({id}) => id);
    const any = rankNodes(this.options.self, names).slice(0, 1);
    const kept = near.length > 0 ? near.map(({id}) => id) : any;
    return new Set([...kept, ...instances.filter(isPrimary).map(({id}) => id)]);
  }

  /** Adds an instance, or opens it anew if it has started again. */
  private ensureMember(instance: RegisteredInstance): void {
    const group = this.getOrCreate(instance.group);
    if (group.members.size === 0) group.onOwnershipAcquired();
    const known = group.members.get(instance.id);
    if (known !== undefined && isSameIncarnation(known.instance, instance)) {
      group.updateMember(instance);
      return;
    }
    group.removeMember(instance.id, 'the instance started again');
    const pool = new InstancePool(
      instance,
      this.options.connector,
      this.options.log,
    );
    group.addMember({instance, pool});
  }

  private removeMissingMembers(group: DatabaseGroup): void {
    for (const id of [...group.members.keys()]) {
      if (this.options.directory.find(id)?.group === group.name) continue;
      group.removeMember(id, 'the instance has gone');
    }
  }
}

/** Lets go of the connections of a group that others own, once nobody uses them. */
function removeUnusedMembers(group: DatabaseGroup): void {
  for (const [id, {pool}] of [...group.members]) {
    if (pool.connections > 0) continue;
    group.removeMember(id, 'other proxies own the group');
  }
}

/** Says whether both entries speak of the same start of the same instance. */
function isSameIncarnation(
  before: RegisteredInstance,
  after: RegisteredInstance,
): boolean {
  return (
    before.host === after.host &&
    before.port === after.port &&
    before.bornAtMs === after.bornAtMs
  );
}
