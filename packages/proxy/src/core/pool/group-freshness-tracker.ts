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

/** What this process knows of the freshness of each group it watches. */
export class GroupFreshnessTracker {
  private readonly groups = new Map<string, GroupFreshness>();
  private subscription: Subscription | undefined;

  /** @param context - What every task may use. */
  constructor(private readonly context: ProxyContext) {}

  /** Begins to follow observations. */
  start(): void {
    const {observations} = this.context;
    this.subscription = observations.changes$.subscribe(seen =>
      this.applyObservation(seen),
    );
  }

  /** Stops following observations. */
  stop(): void {
    this.subscription?.unsubscribe();
  }

  /** What is known of a group, if it has a known primary. */
  get(group: string): GroupFreshness | undefined {
    const view = this.context.groupViews.get(group);
    if (view === undefined) return undefined;
    const known = this.groups.get(group);
    if (known !== undefined && known.term === view.term) return known;
    const updated = observeView(known ?? emptyFreshness(view), view);
    this.groups.set(group, updated);
    return updated;
  }

  /** Takes in what a probe showed, of this process or of another owner. */
  applyObservation(seen: InstanceObservation): void {
    const group = findGroup(this.context.configuration.value, seen.group);
    const known = this.get(seen.group);
    if (group === undefined || known === undefined) return;
    const {status, instance, sentAtMs, answeredAtMs} = seen;
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
      known,
      observation,
      freshnessParametersOf(group),
    );
    this.groups.set(seen.group, updated);
  }

  /**
   * Waits until it is proven that no majority had granted a higher term before
   * a time.
   *
   * @param group - The group.
   * @param sinceMs - The time, in milliseconds of the monotonic clock.
   * @param timeoutMs - How long to wait, in milliseconds.
   * @returns Whether it was proven in the same term.
   */
  async waitForLeaderConfirmation(
    group: GroupResource,
    sinceMs: number,
    timeoutMs: number,
  ): Promise<boolean> {
    const term = this.get(group.name)?.term;
    const isProven = (): boolean =>
      this.leaderConfirmedAtMs(group, term) >= sinceMs;
    if (isProven()) return true;
    const proven$ = this.context.observations.changes$.pipe(
      filter(seen => seen.group === group.name),
      startWith(undefined),
      filter(isProven),
      map(() => true),
    );
    const late$ = timer(timeoutMs).pipe(map(() => false));
    return firstValueFrom(merge(proven$, late$));
  }

  private leaderConfirmedAtMs(
    group: GroupResource,
    term: number | undefined,
  ): number {
    const freshness = this.get(group.name);
    if (freshness === undefined || freshness.term !== term) return -Infinity;
    return (
      computeLeaderConfirmedAtMs(freshness, freshnessParametersOf(group)) ??
      -Infinity
    );
  }
}

function freshnessParametersOf(group: GroupResource): FreshnessParameters {
  return {
    instanceCount: group.instances.length,
    allowedAgeMs: group.allowedAgeMs,
  };
}
