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

/** Waits after the store failed. */
const RETRY_POLICY: BackoffPolicy = {initialMs: 200, maximumMs: 5_000};

/** Wait before a share that was not free is asked for again, in milliseconds. */
const PENDING_REVIEW_INTERVAL_MS = 1_000;

/** Wait between two reviews when every wish is fulfilled, in milliseconds. */
const SETTLED_REVIEW_INTERVAL_MS = 2_000;

/** Records are read again after this time, in milliseconds. */
const REREAD_INTERVAL_MS = 60_000;

/** What the task works with. */
export interface ConnectionShareTaskDependencies {
  readonly store: PlatformStore;
  readonly members: MembershipTracker;
}

/** Takes and gives back this process's connection shares. */
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
   * @param context - What every task may use.
   * @param dependencies - What the task works with.
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

  /** The shares of an instance, as last seen in the store. */
  grants(group: string, instance: string): readonly ShareGrant[] {
    return this.groups.get(group)?.grants(instance) ?? [];
  }

  /** Sets who knows how many connections are open. */
  setConnectionCounter(held: ConnectionCounter): void {
    this.held = held;
  }

  protected override async onStart(): Promise<void> {
    await super.onStart();
    const {configuration, members} = this.context;
    this.subscription = merge(configuration, members).subscribe(() =>
      this.runNow(),
    );
  }

  /** Gives back every share whose connections are closed. */
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

  /** Reviews the groups that need it; says whether all wishes are fulfilled. */
  private async reviewAll(isEnding: boolean): Promise<boolean> {
    if (!this.dependencies.members.isSelfListed) return false;
    let isSettled = true;
    const all = listShareRequests(this.context, this.held, isEnding);
    for (const {group, wishes} of all) {
      const shares = this.getOrCreateShares(group);
      if (this.isDue(group, shares, wishes)) {
        await this.reviewGroup(group, shares, wishes);
      }
      if (!shares.isFulfilled(wishes)) isSettled = false;
    }
    return isSettled;
  }

  private isDue(
    group: string,
    shares: GroupShares,
    wishes: readonly ShareRequest[],
  ): boolean {
    if (shares.needsChange(wishes, this.holderObservationsOf(group)))
      return true;
    if (!shares.isFulfilled(wishes)) return true;
    const readAtMs = this.lastReadAtMs.get(group);
    if (readAtMs === undefined) return wishes.some(({size}) => size > 0);
    const isHolder = wishes.some(({size}) => size > 0);
    return isHolder && performance.now() - readAtMs >= REREAD_INTERVAL_MS;
  }

  private async reviewGroup(
    group: string,
    shares: GroupShares,
    wishes: readonly ShareRequest[],
  ): Promise<void> {
    const before = wishes.map(({instance}) =>
      shares.allowedConnections(instance),
    );
    try {
      await shares.reviewShares(
        wishes,
        this.holderObservationsOf(group),
        randomUUID,
      );
      this.lastReadAtMs.set(group, performance.now());
    } finally {
      this.recordChanges(group, shares, wishes, before);
    }
  }

  private recordChanges(
    group: string,
    shares: GroupShares,
    wishes: readonly ShareRequest[],
    before: readonly number[],
  ): void {
    const {events} = this.context;
    wishes.forEach(({instance}, index) => {
      const connections = shares.allowedConnections(instance);
      if (connections === before[index]) return;
      if (connections === 0) events.record('share-released', {group, instance});
      else events.record('share-taken', {group, instance, connections});
    });
    this.shareChanges.next();
  }

  private getOrCreateShares(group: string): GroupShares {
    const known = this.groups.get(group);
    if (known !== undefined) return known;
    const made = new GroupShares(group, this.self, this.dependencies.store);
    this.groups.set(group, made);
    return made;
  }

  /** What membership and the instances say of other holders. */
  private holderObservationsOf(group: string): HolderObservations {
    const {members} = this.dependencies;
    return {
      hasRunEnded: ({holder, boot}) => members.hasRunEnded(holder, boot),
      countConnections: (instance, {holder, boot}) => {
        const seen = this.context.observations.get(group, instance);
        if (seen === undefined) return undefined;
        return seen.status.connectionsByClient[`${holder}/${boot}`] ?? 0;
      },
    };
  }

  private onFailure(error: Error): number {
    this.failedAttempts += 1;
    if (this.failedAttempts === 1) {
      this.context
        .logs(LogPart.Pool)
        .warn('The connection shares could not be reviewed.', {
          reason: error.message,
        });
    }
    return computeBackoffMs(RETRY_POLICY, this.failedAttempts, Math.random());
  }
}
