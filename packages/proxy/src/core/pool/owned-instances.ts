import {setTimeout as delay} from 'node:timers/promises';
import type {GroupResource, InstanceResource} from '@sapphireglade/decisions';
import {listGroups} from '@sapphireglade/decisions';
import type {LoggerFactory} from '@sapphireglade/runtime';
import {LogPart, MessageTask, TaskState} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import {merge} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {InstanceObservation} from '../observations/index.js';
import {InstanceWatcher} from '../observations/index.js';
import type {ConnectionShares} from '../shares/index.js';
import type {UpstreamConnector} from '../upstream/index.js';
import {GroupFreshnessTracker} from './group-freshness-tracker.js';
import {InstancePool} from './instance-pool.js';

/** Requests a comparison of the owned instances with the allowed ones. */
interface ReviewMessage {
  readonly type: 'review';
}

/** An owned instance with its pool and watcher. */
interface OwnedInstance {
  readonly pool: InstancePool;
  readonly watcher: InstanceWatcher;
}

/** An instance of which this process holds a share. */
interface AllowedInstance {
  readonly group: GroupResource;
  readonly instance: InstanceResource;
  readonly limit: number;
}

/** Minimum useful share: one connection for watching, one for requests. */
const MINIMUM_CONNECTIONS = 2;

/** Interval between checks of retiring pools, in milliseconds. */
const RETIRING_POLL_INTERVAL_MS = 100;

/** Longest wait for connections to close during a stop, in milliseconds. */
const STOP_TIMEOUT_MS = 1_000;

/** Maintains a pool and a watcher for each instance that this process owns. */
export class OwnedInstances extends MessageTask<ReviewMessage> {
  /** Freshness of the groups of the owned instances. */
  readonly freshness: GroupFreshnessTracker;
  private readonly owned = new Map<string, OwnedInstance>();
  /** Instances that are no longer owned but still have connections. */
  private readonly retiring = new Map<string, OwnedInstance>();
  private readonly logs: LoggerFactory;
  private subscriptions: Subscription[] = [];

  /**
   * @param context - Context shared by all tasks.
   * @param connector - Opens connections.
   * @param shares - Connection shares of this process.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly connector: UpstreamConnector,
    private readonly shares: ConnectionShares,
  ) {
    super('owned-instances');
    this.logs = context.logs;
    this.freshness = new GroupFreshnessTracker(context);
  }

  /** Returns the pool of an instance, if this process owns it. */
  pool(group: string, instance: string): InstancePool | undefined {
    return this.owned.get(keyOf(group, instance))?.pool;
  }

  /** Returns the watcher of an instance, if this process owns it. */
  watcher(group: string, instance: string): InstanceWatcher | undefined {
    return this.owned.get(keyOf(group, instance))?.watcher;
  }

  /** Returns how many connections the instance may count for this process. */
  countConnections(group: string, instance: string): number {
    const key = keyOf(group, instance);
    const held = this.owned.get(key) ?? this.retiring.get(key);
    return held === undefined ? 0 : held.pool.connections + 1;
  }

  /** Subscribes to configuration, members, shares and observations. */
  protected async onStart(): Promise<void> {
    const {configuration, members, observations} = this.context;
    this.freshness.start();
    const review$ = merge(configuration, members, this.shares.changes$);
    this.subscriptions = [
      review$.subscribe(() => this.post({type: 'review'})),
      observations.changes$.subscribe(observation =>
        this.adoptPrimary(observation),
      ),
      observations.changes$.subscribe(observation =>
        this.updateConnectionCount(observation),
      ),
    ];
  }

  /** Closes every pool and watcher. */
  protected async onStop(): Promise<void> {
    this.freshness.stop();
    for (const key of this.owned.keys()) this.retire(key);
    await Promise.all(
      [...this.retiring.keys()].map(key => this.closeRetired(key)),
    );
    for (const subscription of this.subscriptions) subscription.unsubscribe();
  }

  /** Opens newly allowed instances and retires those no longer allowed. */
  protected async onMessage(_message: ReviewMessage): Promise<void> {
    const allowed = this.listAllowedInstances();
    for (const [key, {pool}] of [...this.owned]) {
      const limit = allowed.get(key)?.limit;
      if (limit === undefined) this.retireAndReview(key);
      else pool.setLimit(limit);
    }
    for (const [key, instance] of allowed) {
      const isHeld = this.owned.has(key) || this.retiring.has(key);
      if (!isHeld) await this.openInstance(key, instance);
    }
  }

  private listAllowedInstances(): Map<string, AllowedInstance> {
    const allowed = new Map<string, AllowedInstance>();
    for (const group of listGroups(this.context.configuration.value)) {
      for (const instance of group.instances) {
        const limit = this.shares.allowedConnections(group.name, instance.name);
        if (limit < MINIMUM_CONNECTIONS) continue;
        const key = keyOf(group.name, instance.name);
        allowed.set(key, {group, instance, limit});
      }
    }
    return allowed;
  }

  private async openInstance(
    key: string,
    {group, instance, limit}: AllowedInstance,
  ): Promise<void> {
    const pool = new InstancePool(instance, this.connector, limit);
    const watcher = new InstanceWatcher({
      group: group.name,
      instance: instance.name,
      open: () => pool.openWatchConnection(),
      observations: this.context.observations,
      log: this.logs(LogPart.Pool),
    });
    this.owned.set(key, {pool, watcher});
    this.logs(LogPart.Pool).info('Instance opened: this process now owns it.', {
      key,
      limit,
    });
    await watcher.start();
  }

  /** Retires an instance; it can be opened again once its pool has closed. */
  private retireAndReview(key: string): void {
    this.retire(key);
    void this.closeRetired(key).then(() => this.post({type: 'review'}));
  }

  /** Accepts no new work; connections in use close when they are released. */
  private retire(key: string): void {
    const instance = this.owned.get(key);
    if (instance === undefined) return;
    this.owned.delete(key);
    this.retiring.set(key, instance);
    void instance.pool.stop();
  }

  /**
   * Watches a retiring instance until it no longer counts any statement
   * connection.
   */
  private async closeRetired(key: string): Promise<void> {
    const retired = this.retiring.get(key);
    if (retired === undefined) return;
    const stopAtMs = performance.now() + STOP_TIMEOUT_MS;
    while (retired.pool.connections > 0) {
      const isStopping = this.state === TaskState.Stopping;
      if (isStopping && performance.now() >= stopAtMs) break;
      await delay(RETIRING_POLL_INTERVAL_MS);
    }
    await retired.watcher.stop(0);
    this.retiring.delete(key);
    this.logs(LogPart.Pool).info(
      'Instance closed: this process no longer owns it.',
      {key},
    );
  }

  /** Passes the connection count of the instance to its pool. */
  private updateConnectionCount({
    group,
    instance,
    ...observation
  }: InstanceObservation): void {
    const key = keyOf(group, instance);
    const held = this.owned.get(key) ?? this.retiring.get(key);
    held?.pool.applyStatus(observation.status, observation.sentAtMs);
  }

  /** Updates the group view from an instance that reports the primary role. */
  private adoptPrimary({status}: InstanceObservation): void {
    if (status.role !== 'primary' || status.term < status.grantedTerm) return;
    this.context.groupViews.applyIfNewer({
      group: status.group,
      term: status.term,
      primary: status.instance,
      termStarts: status.termStarts,
      voterSets: status.voterSets,
    });
  }
}

function keyOf(group: string, instance: string): string {
  return `${group}/${instance}`;
}
