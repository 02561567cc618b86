import {randomUUID} from 'node:crypto';
import type {
  BackoffPolicy,
  HolderObservations,
  ShareGrant,
  ShareHolder,
  ShareRequest,
} from '@sapphireglade/decisions';
import {computeBackoffMs} from '@sapphireglade/decisions';
import {LogPart, PeriodicTask} from '@sapphireglade/runtime';
import type {Observable, Subscription} from 'rxjs';
import {merge, Subject} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {MembershipTracker} from '../membership/index.js';
import type {PlatformStore} from '../store/index.js';
import type {ConnectionShares, ConnectionCounter} from './connection-shares.js';
import {GroupShares} from './group-shares.js';
import {listShareRequests} from './share-requests.js';

/** Backoff after a store failure. */
const RETRY_POLICY: BackoffPolicy = {initialMs: 200, maximumMs: 5_000};

/**
 * Review interval while a requested share is not available, in milliseconds.
 */
const PENDING_REVIEW_INTERVAL_MS = 1_000;

/** Review interval while every requested share is held, in milliseconds. */
const SETTLED_REVIEW_INTERVAL_MS = 2_000;

/** Time after which a share record is read again, in milliseconds. */
const REREAD_INTERVAL_MS = 60_000;

/** Dependencies of the connection share task. */
export interface ConnectionShareTaskDependencies {
  readonly store: PlatformStore;
  readonly members: MembershipTracker;
}

/** Acquires and releases the connection shares of this process. */
export class ConnectionShareTask
  extends PeriodicTask
  implements ConnectionShares
{
  private readonly groups = new Map<string, GroupShares>();
  private readonly lastReadAtMs = new Map<string, number>();
  private readonly shareChanges = new Subject<void>();
  private readonly self: ShareHolder;
  private held: ConnectionCounter = () => 0;
  private subscription: Subscription | undefined;
  private failedAttempts = 0;

  /**
   * @param context - The shared state of this process.
   * @param dependencies - Dependencies of the task.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly dependencies: ConnectionShareTaskDependencies,
  ) {
    super('connection-shares');
    const {process: holder, boot} = context.identity;
    this.self = {holder, boot};
  }

  get changes$(): Observable<void> {
    return this.shareChanges;
  }

  allowedConnections(group: string, instance: string): number {
    return this.groups.get(group)?.allowedConnections(instance) ?? 0;
  }

  /** Returns the shares of an instance, as last read from the store. */
  grants(group: string, instance: string): readonly ShareGrant[] {
    return this.groups.get(group)?.grants(instance) ?? [];
  }

  /** Sets the function that counts open connections. */
  setConnectionCounter(counter: ConnectionCounter): void {
    this.held = counter;
  }

  protected override async onStart(): Promise<void> {
    await super.onStart();
    const {configuration, members} = this.context;
    this.subscription = merge(configuration, members).subscribe(() =>
      this.runNow(),
    );
  }

  /** Releases every share whose connections are closed. */
  protected override async onStop(): Promise<void> {
    this.subscription?.unsubscribe();
    await super.onStop();
    await this.reviewAll(true).catch(() => undefined);
  }

  protected async runOnce(): Promise<number> {
    try {
      const isSettled = await this.reviewAll(false);
      this.failedAttempts = 0;
      return isSettled
        ? SETTLED_REVIEW_INTERVAL_MS
        : PENDING_REVIEW_INTERVAL_MS;
    } catch (error) {
      return this.onFailure(error as Error);
    }
  }

  /**
   * Reviews the groups that are due; returns whether every requested share is
   * held.
   */
  private async reviewAll(isEnding: boolean): Promise<boolean> {
    if (!this.dependencies.members.isSelfListed) return false;
    let isSettled = true;
    const groupRequests = listShareRequests(this.context, this.held, isEnding);
    for (const {group, shareRequests: requests} of groupRequests) {
      const shares = this.getOrCreateShares(group);
      if (this.isDue(group, shares, requests)) {
        await this.reviewGroup(group, shares, requests);
      }
      if (!shares.isFulfilled(requests)) isSettled = false;
    }
    return isSettled;
  }

  private isDue(
    group: string,
    shares: GroupShares,
    requests: readonly ShareRequest[],
  ): boolean {
    if (shares.needsChange(requests, this.holderObservationsOf(group)))
      return true;
    if (!shares.isFulfilled(requests)) return true;
    const readAtMs = this.lastReadAtMs.get(group);
    if (readAtMs === undefined) return requests.some(({size}) => size > 0);
    const isHolder = requests.some(({size}) => size > 0);
    return isHolder && performance.now() - readAtMs >= REREAD_INTERVAL_MS;
  }

  private async reviewGroup(
    group: string,
    shares: GroupShares,
    requests: readonly ShareRequest[],
  ): Promise<void> {
    const before = requests.map(({instance}) =>
      shares.allowedConnections(instance),
    );
    try {
      await shares.reviewShares(
        requests,
        this.holderObservationsOf(group),
        randomUUID,
      );
      this.lastReadAtMs.set(group, performance.now());
    } finally {
      this.recordChanges(group, shares, requests, before);
    }
  }

  private recordChanges(
    group: string,
    shares: GroupShares,
    requests: readonly ShareRequest[],
    before: readonly number[],
  ): void {
    const {events} = this.context;
    requests.forEach(({instance}, index) => {
      const connections = shares.allowedConnections(instance);
      if (connections === before[index]) return;
      if (connections === 0) events.record('share-released', {group, instance});
      else events.record('share-taken', {group, instance, connections});
    });
    this.shareChanges.next();
  }

  private getOrCreateShares(group: string): GroupShares {
    const existing = this.groups.get(group);
    if (existing !== undefined) return existing;
    const created = new GroupShares(group, this.self, this.dependencies.store);
    this.groups.set(group, created);
    return created;
  }

  /** Returns observations of other holders from membership and instances. */
  private holderObservationsOf(group: string): HolderObservations {
    const {members} = this.dependencies;
    return {
      hasRunEnded: ({holder, boot}) => members.hasRunEnded(holder, boot),
      countConnections: (instance, {holder, boot}) => {
        const observation = this.context.observations.get(group, instance);
        if (observation === undefined) return undefined;
        return observation.status.connectionsByClient[`${holder}/${boot}`] ?? 0;
      },
    };
  }

  private onFailure(error: Error): number {
    this.failedAttempts += 1;
    if (this.failedAttempts === 1) {
      this.context
        .logs(LogPart.Pool)
        .warn('The connection shares could not be reviewed; retrying.', {
          reason: error.message,
        });
    }
    return computeBackoffMs(RETRY_POLICY, this.failedAttempts, Math.random());
  }
}
