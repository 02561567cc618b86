import type {ClockReading} from '@sapphireglade/decisions';
import {
  ChangeExpectation,
  OwnerShares,
  rankNodes,
  RESERVED_CONNECTIONS,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {
  InstanceDirectory,
  InstanceUsePolicy,
  RegisteredInstance,
} from '../directory/index.js';
import type {GroupOwnership} from '../ownership/index.js';
import {InstancePool} from '../pool/index.js';
import type {InstanceConnector} from '../upstream/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import {DatabaseGroup} from './database-group.js';
import {needsConfirmation} from './view-witnesses.js';

/** Dependencies of the group registry. */
export interface GroupRegistryOptions {
  readonly self: string;
  readonly configuration: LatestConfiguration;
  readonly directory: InstanceDirectory;
  readonly connector: InstanceConnector;
  readonly ownership: GroupOwnership;
  readonly usePolicy: InstanceUsePolicy;
  /** Returns the availability zone of a live proxy. */
  readonly zoneOf: (name: string) => string | undefined;
  /** Returns the names of the proxies that ran before this process started. */
  readonly earlierProxies: () => readonly string[];
  /** Returns whether an availability zone is in the region of this proxy. */
  readonly isInOwnRegion: (zone: string) => boolean;
  readonly log: Logger;
}

/**
 * All groups, with connection pools to the instances listed by the directory.
 */
export class GroupRegistry {
  private readonly groups = new Map<string, DatabaseGroup>();
  private readonly changeExpectation = new ChangeExpectation();
  private readonly shares = new Map<string, OwnerShares>();
  private readonly listeners: ((group: DatabaseGroup) => void)[] = [];

  constructor(private readonly options: GroupRegistryOptions) {
    options.directory.changes$.subscribe(() => this.reconcile());
    options.configuration.configuration$.subscribe(() => this.reconcile());
  }

  /** All groups created so far. */
  get all(): IterableIterator<DatabaseGroup> {
    return this.groups.values();
  }

  /** Returns a group, or undefined if it has not been created. */
  find(name: string): DatabaseGroup | undefined {
    return this.groups.get(name);
  }

  /** Returns a group, and creates it if necessary. */
  getOrCreate(name: string): DatabaseGroup {
    const existing = this.groups.get(name);
    if (existing !== undefined) return existing;
    const {usePolicy} = this.options;
    const group = new DatabaseGroup(name, this.changeExpectation, usePolicy);
    this.groups.set(name, group);
    for (const listener of this.listeners) listener(group);
    return group;
  }

  /** The groups owned by this proxy. */
  get owned(): DatabaseGroup[] {
    return [...this.groups.values()].filter(({name}) =>
      this.options.ownership.isOwned(name),
    );
  }

  /** Returns the availability zone of a group's primary, if known. */
  primaryZoneOf(name: string): string | undefined {
    const primary = this.groups.get(name)?.record?.record.primary;
    if (primary === undefined) return undefined;
    return this.options.directory.find(primary)?.availabilityZone;
  }

  /**
   * Calls a listener for each existing group and for each group created later.
   */
  onGroup(listener: (group: DatabaseGroup) => void): void {
    this.listeners.push(listener);
    for (const group of this.groups.values()) listener(group);
  }

  /** Handles a response of the store that confirmed all records as newest. */
  confirmAllRecords(sentAt: ClockReading): void {
    for (const group of this.groups.values()) group.confirmRecord(sentAt);
  }

  /** Whether the view of an owned group is invalid, or could not be verified without the store. */
  get needsConfirmation(): boolean {
    const now = readClocks();
    return this.owned.some(
      group => !group.viewFreshness.isValid(now) || needsConfirmation(group),
    );
  }

  /** Extends every view that was still valid when the renewal was sent. */
  extendAllViews(sentAt: ClockReading): void {
    for (const group of this.groups.values()) group.onLeaseRenewed(sentAt);
  }

  /**
   * Updates pools and connection shares to match the configuration, the
   * directory and the ownership.
   */
  reconcile(): void {
    const current = this.options.configuration.current;
    if (current === undefined) return;
    const {ownership, directory} = this.options;
    ownership.update(current.groups.keys());
    for (const instance of directory.instances) {
      const isOwned = ownership.isOwned(instance.group);
      if (isOwned && current.groups.has(instance.group))
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
    const current = this.options.configuration.current;
    const nowMs = steadyNowMs();
    for (const name of current?.groups.keys() ?? []) {
      const shares = this.updateShares(name, nowMs);
      const group = this.groups.get(name);
      if (group === undefined) continue;
      const limit = current?.groups.get(name)?.connectionLimit ?? 0;
      const usable = limit - RESERVED_CONNECTIONS;
      const isOwned = this.options.ownership.isOwned(name);
      const keptWarm = isOwned ? this.instancesToKeepWarm(group) : new Set();
      for (const {instance, pool} of group.members.values()) {
        const divided = {...instance, limit: usable};
        pool.setShare(isOwned ? shares.shareOf(divided, nowMs) : 0);
        pool.shouldKeepWarm = keptWarm.has(instance.id);
        pool.maintain();
      }
    }
  }

  /** Records the owners of a group, and returns the shares of this proxy. */
  private updateShares(group: string, nowMs: number): OwnerShares {
    const {self, ownership, zoneOf, earlierProxies} = this.options;
    const shares = this.shares.get(group) ?? new OwnerShares(self);
    this.shares.set(group, shares);
    const owners = ownership
      .ownersOf(group)
      .map(name => ({name, availabilityZone: zoneOf(name)}));
    shares.update(owners, nowMs, earlierProxies());
    return shares;
  }

  /**
   * Returns the instances whose connections are kept open without demand: the
   * primary, the replicas of this region, and one replica in any case, because
   * only a replica can verify a view of the primary while the store is
   * unreachable.
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
    const local = replicas.filter(each =>
      this.options.isInOwnRegion(each.availabilityZone),
    );
    const names = replicas.map(({id}) => id);
    const fallback = rankNodes(this.options.self, names).slice(0, 1);
    const warmReplicas = local.length > 0 ? local.map(({id}) => id) : fallback;
    return new Set([
      ...warmReplicas,
      ...instances.filter(isPrimary).map(({id}) => id),
    ]);
  }

  /** Adds an instance, or replaces its pool if the instance has restarted. */
  private ensureMember(instance: RegisteredInstance): void {
    const group = this.getOrCreate(instance.group);
    if (group.members.size === 0) group.onOwnershipAcquired();
    const existing = group.members.get(instance.id);
    if (
      existing !== undefined &&
      isSameIncarnation(existing.instance, instance)
    ) {
      group.updateMember(instance);
      return;
    }
    group.removeMember(instance.id, 'the instance restarted');
    const pool = new InstancePool(
      instance,
      this.options.connector,
      this.options.log,
    );
    group.addMember(instance, pool);
  }

  private removeMissingMembers(group: DatabaseGroup): void {
    for (const id of [...group.members.keys()]) {
      if (this.options.directory.find(id)?.group === group.name) continue;
      group.removeMember(id, 'the instance was removed from the directory');
    }
  }
}

/**
 * Removes the pools of a group that other proxies own, once they have no
 * connections.
 */
function removeUnusedMembers(group: DatabaseGroup): void {
  for (const [id, {pool}] of [...group.members]) {
    if (pool.connections > 0) continue;
    group.removeMember(id, 'other proxies own the group');
  }
}

/**
 * Returns whether both entries describe the same start of the same instance.
 */
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
