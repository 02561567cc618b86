import type {FailoverEvent, GroupResource} from '@sapphireglade/decisions';
import {
  findPromotion,
  listGroups,
  rankCoordinators,
  resourceKey,
} from '@sapphireglade/decisions';
import type {
  FailoverRequest,
  HoldWritesResponse,
  PeerRequest,
} from '@sapphireglade/protocol';
import {MessageTask} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import {interval, merge} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {InstanceObservation} from '../observations/index.js';
import type {PeerDispatcher, PeerLinks} from '../peers/index.js';
import type {OwnedInstances} from '../pool/index.js';
import type {PlatformStore} from '../store/index.js';
import {GroupFailover} from './group-failover.js';
import {GroupViewStore} from './group-view-store.js';
import type {WriteHolds} from './write-holds.js';

/** Interval of the checks that depend on time alone, in milliseconds. */
const TICK_INTERVAL_MS = 20;

/** Peer request types that this task handles. */
const FAILOVER_REQUEST_TYPES: ReadonlyArray<FailoverRequest['type']> = [
  'primary-report',
  'hold-writes',
  'release-writes',
];

/** Dependencies of the failover task. */
export interface FailoverDependencies {
  readonly owned: OwnedInstances;
  readonly links: PeerLinks;
  readonly dispatcher: PeerDispatcher;
  readonly writeHolds: WriteHolds;
  readonly store: PlatformStore;
}

/** Messages in the mailbox of the task. */
type FailoverMessage =
  | {readonly type: 'review'}
  | {readonly type: 'tick'}
  | {readonly type: 'observed'; readonly key: string}
  | {
      readonly type: 'event';
      readonly group: string;
      readonly event: FailoverEvent;
    };

/**
 * Monitors the primary of each group that this process coordinates, and
 * replaces it when it fails or leaves.
 */
export class FailoverTask extends MessageTask<FailoverMessage> {
  private readonly groups = new Map<string, GroupFailover>();
  /** Latest observation of each instance that is yet to be applied. */
  private readonly latestObservations = new Map<string, InstanceObservation>();
  private readonly viewStore: GroupViewStore;
  private subscriptions: Subscription[] = [];

  /**
   * @param context - The shared state of this process.
   * @param dependencies - Dependencies of the task.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly dependencies: FailoverDependencies,
  ) {
    super('failover');
    this.viewStore = new GroupViewStore(context, dependencies.store);
  }

  /** Subscribes to configuration, members, observations and peer messages. */
  protected async onStart(): Promise<void> {
    const {configuration, members, observations, groupViews} = this.context;
    const {dispatcher} = this.dependencies;
    dispatcher.register(FAILOVER_REQUEST_TYPES, request =>
      this.answer(request),
    );
    this.subscriptions = [
      merge(configuration, members).subscribe(() =>
        this.post({type: 'review'}),
      ),
      observations.changes$.subscribe(observation =>
        this.onObserved(observation),
      ),
      observations.unreachable$.subscribe(({group, instance, reason}) =>
        this.postEvent(group, {type: 'unreachable', instance, reason}),
      ),
      groupViews.changes$.subscribe(view =>
        this.postEvent(view.group, {type: 'view', view}),
      ),
      dispatcher.notifications$.subscribe(({notice}) => {
        if (notice.type === 'group-view') groupViews.applyIfNewer(notice.view);
      }),
      interval(TICK_INTERVAL_MS).subscribe(() => this.onTick()),
    ];
  }

  /** Cancels all subscriptions and pending writes of views. */
  protected async onStop(): Promise<void> {
    for (const subscription of this.subscriptions) subscription.unsubscribe();
    this.viewStore.close();
  }

  protected onMessage(message: FailoverMessage): void {
    switch (message.type) {
      case 'review':
        return this.reviewGroups();
      case 'tick':
        for (const group of this.groups.values()) group.handle({type: 'tick'});
        return;
      case 'observed':
        return this.applyObservation(message.key);
      case 'event':
        this.groups.get(message.group)?.handle(message.event);
    }
  }

  /**
   * Adds the groups that this process coordinates now and removes the others.
   */
  private reviewGroups(): void {
    const {configuration, members, identity} = this.context;
    const nodes = members.value.filter(({isLeaving}) => !isLeaving);
    const coordinated = new Set<string>();
    for (const group of listGroups(configuration.value)) {
      const coordinators = rankCoordinators(group, nodes);
      if (!coordinators.includes(identity.process)) continue;
      coordinated.add(group.name);
      this.configureGroup(group, coordinators);
    }
    for (const name of this.groups.keys()) {
      if (!coordinated.has(name)) this.groups.delete(name);
    }
  }

  private configureGroup(
    group: GroupResource,
    coordinators: readonly string[],
  ): void {
    const {configuration} = this.context;
    const requested = findPromotion(configuration.value, group.name);
    const key = resourceKey(group.kind, group.name);
    const version = configuration.value.resources.get(key)?.version;
    const existing = this.groups.get(group.name);
    const failover =
      existing ??
      new GroupFailover(this.context, {
        ...this.dependencies,
        viewStore: this.viewStore,
        group,
        coordinators,
        emit: event => this.postEvent(group.name, event),
      });
    this.groups.set(group.name, failover);
    failover.handle({
      type: 'configured',
      group,
      version,
      coordinators,
      requestedPrimary: requested?.target,
    });
  }

  private onTick(): void {
    if (this.groups.size > 0) this.post({type: 'tick'});
  }

  /** Queues at most one message per instance, for its latest observation. */
  private onObserved(observation: InstanceObservation): void {
    if (!this.groups.has(observation.group)) return;
    const key = `${observation.group}/${observation.instance}`;
    const isQueued = this.latestObservations.has(key);
    this.latestObservations.set(key, observation);
    if (!isQueued) this.post({type: 'observed', key});
  }

  private applyObservation(key: string): void {
    const observation = this.latestObservations.get(key);
    this.latestObservations.delete(key);
    if (observation === undefined) return;
    this.groups.get(observation.group)?.handle({
      type: 'reported',
      report: observation.status,
      askedAtMs: observation.sentAtMs,
    });
  }

  private postEvent(group: string, event: FailoverEvent): void {
    if (this.groups.has(group)) this.post({type: 'event', group, event});
  }

  /** Handles a request from another proxy. */
  private async answer(request: PeerRequest): Promise<unknown> {
    const {writeHolds} = this.dependencies;
    switch (request.type) {
      case 'primary-report': {
        const {report} = request;
        this.postEvent(report.group, {type: 'suspicion', report});
        return {};
      }
      case 'hold-writes':
        return this.holdWrites(request.group, request.term, request.holdMs);
      case 'release-writes':
        writeHolds.release(request.group, request.term);
        return {};
      default:
        return undefined;
    }
  }

  private async holdWrites(
    group: string,
    term: number,
    holdMs: number,
  ): Promise<HoldWritesResponse> {
    const startedAtMs = performance.now();
    const isDrained = await this.dependencies.writeHolds.hold(
      group,
      term,
      holdMs,
    );
    const tookMs = performance.now() - startedAtMs;
    this.context.events.record('writes-held', {group, term, isDrained, tookMs});
    return {isDrained};
  }
}
