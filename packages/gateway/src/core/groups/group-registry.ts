import type {ClockReading} from '@sapphireglade/decisions';
import {
  connectionShare,
  rankNodes,
  ShareHolders,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {ConfigurationHolder} from '../configuration/index.js';
import type {
  InstanceDirectory,
  RegisteredInstance,
} from '../directory/index.js';
import {InstancePool} from '../pool/index.js';
import type {InstanceConnector} from '../upstream/index.js';
import {steadyNow} from '../time/index.js';
import {DatabaseGroup} from './database-group.js';

/** Connections of each instance that the coordinator may use. */
const RESERVED_CONNECTIONS = 1;

/** What the registry is made from. */
export interface GroupRegistryOptions {
  readonly self: string;
  readonly configuration: ConfigurationHolder;
  readonly directory: InstanceDirectory;
  readonly connector: InstanceConnector;
  /** Names of the live proxies. */
  readonly members: () => readonly string[];
  /** Names of the proxies that ran before this process started. */
  readonly earlierProxies: () => readonly string[];
  /** Whether an availability zone is in the region of this proxy. */
  readonly isNear: (zone: string) => boolean;
  readonly log: Logger;
}

/** All groups, with connections to the instances that the directory lists. */
export class GroupRegistry {
  private readonly groups = new Map<string, DatabaseGroup>();
  private readonly sharers = new ShareHolders();
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
  ensure(name: string): DatabaseGroup {
    const known = this.groups.get(name);
    if (known !== undefined) return known;
    const group = new DatabaseGroup(name);
    this.groups.set(name, group);
    for (const listener of this.listeners) listener(group);
    return group;
  }

  /** Calls a listener with each group, now and later. */
  onGroup(listener: (group: DatabaseGroup) => void): void {
    this.listeners.push(listener);
    for (const group of this.groups.values()) listener(group);
  }

  /** Takes in that an answer of the store proved all records to be newest. */
  confirmAll(sentAt: ClockReading): void {
    for (const group of this.groups.values()) group.confirm(sentAt);
  }

  /** Prolongs every view that still counted when the question was sent. */
  prolongAll(sentAt: ClockReading): void {
    for (const group of this.groups.values()) group.prolong(sentAt);
  }

  /** Brings pools and shares in line with what is declared and registered. */
  reconcile(): void {
    const declared = this.options.configuration.current;
    if (declared === undefined) return;
    for (const instance of this.options.directory.instances) {
      if (declared.groups.has(instance.group)) this.keep(instance);
    }
    for (const group of this.groups.values()) this.dropGone(group);
    this.divide();
  }

  /** Divides the connection limits among the live proxies. */
  divide(): void {
    const declared = this.options.configuration.current;
    const members = this.sharers.update(
      this.options.members(),
      steadyNow(),
      this.options.earlierProxies(),
    );
    for (const group of this.groups.values()) {
      const limit = declared?.groups.get(group.name)?.connectionLimit ?? 0;
      const oftenUsed = this.oftenUsed(group);
      for (const {instance, pool} of group.members.values()) {
        pool.setShare(
          connectionShare(
            instance.id,
            limit - RESERVED_CONNECTIONS,
            members,
            this.options.self,
          ),
        );
        pool.isKeptWarm = oftenUsed.has(instance.id);
        pool.maintain();
      }
    }
  }

  /**
   * Chooses the instances that are kept connected without need: the primary,
   * the replicas of this region, and one replica in any case, because only a
   * replica can prove a view of the primary while the store is away.
   */
  private oftenUsed(group: DatabaseGroup): ReadonlySet<string> {
    const instances = [...group.members.values()].map(
      member => member.instance,
    );
    const isPrimary = ({id, claimsPrimary}: RegisteredInstance): boolean =>
      group.record === undefined
        ? claimsPrimary
        : group.record.record.primary === id;
    const replicas = instances.filter(each => !isPrimary(each));
    const near = replicas.filter(each =>
      this.options.isNear(each.availabilityZone),
    );
    const names = replicas.map(({id}) => id);
    const any = rankNodes(this.options.self, names).slice(0, 1);
    const kept = near.length > 0 ? near.map(({id}) => id) : any;
    return new Set([...kept, ...instances.filter(isPrimary).map(({id}) => id)]);
  }

  /** Adds an instance, or opens it anew if it has started again. */
  private keep(instance: RegisteredInstance): void {
    const group = this.ensure(instance.group);
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

  private dropGone(group: DatabaseGroup): void {
    for (const id of [...group.members.keys()]) {
      if (this.options.directory.find(id)?.group === group.name) continue;
      group.removeMember(id, 'the instance has gone');
    }
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
