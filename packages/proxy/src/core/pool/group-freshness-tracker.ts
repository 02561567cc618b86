import type {
  FreshnessParameters,
  GroupFreshness,
  GroupResource,
} from '@sapphireglade/decisions';
import {
  emptyFreshness,
  findGroup,
  computeLeaderConfirmedAtMs,
  observeInstance,
  observeView,
} from '@sapphireglade/decisions';
import type {Subscription} from 'rxjs';
import {filter, firstValueFrom, map, merge, startWith, timer} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {InstanceObservation} from '../observations/index.js';

/** Tracks the freshness of each group that this process watches. */
export class GroupFreshnessTracker {
  private readonly groups = new Map<string, GroupFreshness>();
  private subscription: Subscription | undefined;

  /** @param context - Context shared by all tasks. */
  constructor(private readonly context: ProxyContext) {}

  /** Subscribes to observations. */
  start(): void {
    const {observations} = this.context;
    this.subscription = observations.changes$.subscribe(observation =>
      this.applyObservation(observation),
    );
  }

  /** Unsubscribes from observations. */
  stop(): void {
    this.subscription?.unsubscribe();
  }

  /** Returns the freshness of a group, or undefined without a group view. */
  get(group: string): GroupFreshness | undefined {
    const view = this.context.groupViews.get(group);
    if (view === undefined) return undefined;
    const cached = this.groups.get(group);
    if (cached !== undefined && cached.term === view.term) return cached;
    const updated = observeView(cached ?? emptyFreshness(view), view);
    this.groups.set(group, updated);
    return updated;
  }

  /** Applies the result of a probe by this process or by another owner. */
  applyObservation(observed: InstanceObservation): void {
    const group = findGroup(this.context.configuration.value, observed.group);
    const freshness = this.get(observed.group);
    if (group === undefined || freshness === undefined) return;
    const {status, instance, sentAtMs, answeredAtMs} = observed;
    const {role, term, grantedTerm, position} = status;
    const observation = {
      instance,
      role,
      term,
      grantedTerm,
      position,
      sentAtMs,
      answeredAtMs,
    };
    const updated = observeInstance(
      freshness,
      observation,
      this.freshnessParametersOf(group),
    );
    this.groups.set(observed.group, updated);
  }

  /**
   * Waits for proof that no majority had granted a higher term before the
   * given time.
   *
   * @param group - The group.
   * @param sinceMs - Monotonic time, in milliseconds.
   * @param timeoutMs - Longest wait, in milliseconds.
   * @returns Whether the proof arrived in the same term before the timeout.
   */
  async waitForLeaderConfirmation(
    group: GroupResource,
    sinceMs: number,
    timeoutMs: number,
  ): Promise<boolean> {
    const term = this.get(group.name)?.term;
    const isConfirmed = (): boolean =>
      this.leaderConfirmedAtMs(group, term) >= sinceMs;
    if (isConfirmed()) return true;
    const confirmed$ = this.context.observations.changes$.pipe(
      filter(observation => observation.group === group.name),
      startWith(undefined),
      filter(isConfirmed),
      map(() => true),
    );
    const timeout$ = timer(timeoutMs).pipe(map(() => false));
    return firstValueFrom(merge(confirmed$, timeout$));
  }

  private leaderConfirmedAtMs(
    group: GroupResource,
    term: number | undefined,
  ): number {
    const freshness = this.get(group.name);
    if (freshness === undefined || freshness.term !== term) return -Infinity;
    return (
      computeLeaderConfirmedAtMs(
        freshness,
        this.freshnessParametersOf(group),
      ) ?? -Infinity
    );
  }

  private freshnessParametersOf(group: GroupResource): FreshnessParameters {
    const view = this.context.groupViews.get(group.name);
    return {
      instanceCount: group.instances.length,
      voters: view?.voterSets?.[0]?.instances,
      allowedAgeMs: group.allowedAgeMs,
    };
  }
}
