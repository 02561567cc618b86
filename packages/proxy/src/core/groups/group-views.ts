import type {GroupResource, GroupView} from '@sapphireglade/decisions';
import {newerView, votersOf} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {filter, firstValueFrom, merge, Subject, timer} from 'rxjs';

/** Cached views of the groups: the primary and term of each. */
export class GroupViews {
  private readonly views = new Map<string, GroupView>();
  /** The view of the term before the cached one, by group. */
  private readonly previousViews = new Map<string, GroupView>();
  private readonly changes = new Subject<GroupView>();

  /** Emits each view that replaced an older one. */
  get changes$(): Observable<GroupView> {
    return this.changes;
  }

  /** Returns the view of a group, if there is one. */
  get(group: string): GroupView | undefined {
    return this.views.get(group);
  }

  /**
   * Returns the instances of which a majority confirms the writes of a term.
   *
   * @returns The names, or undefined if the term is neither that of the view nor
   *   the one before it.
   */
  votersOf(group: GroupResource, term: number): readonly string[] | undefined {
    const {name, instances} = group;
    const view = [this.views.get(name), this.previousViews.get(name)].find(
      each => each?.term === term,
    );
    if (view === undefined) return undefined;
    return votersOf(
      view,
      instances.map(instance => instance.name),
    );
  }

  /**
   * Waits for the view of a term that an instance already reports.
   *
   * @param timeoutMs - Longest wait, in milliseconds.
   * @returns The voters of the term, as of {@link votersOf}.
   */
  async waitForVoters(
    group: GroupResource,
    term: number,
    timeoutMs: number,
  ): Promise<readonly string[] | undefined> {
    const known = this.views.get(group.name)?.term ?? 0;
    if (known < term) {
      const reached$ = this.changes.pipe(
        filter(view => view.group === group.name && view.term >= term),
      );
      await firstValueFrom(merge(reached$, timer(timeoutMs)));
    }
    return this.votersOf(group, term);
  }

  /** Returns the views of all groups. */
  list(): readonly GroupView[] {
    return [...this.views.values()];
  }

  /**
   * Stores and emits a view if it is newer than the cached one.
   *
   * @returns Whether the cached view was replaced.
   */
  applyIfNewer(update: GroupView): boolean {
    const cached = this.views.get(update.group);
    if (newerView(cached, update) === cached) return false;
    if (cached !== undefined && cached.term < update.term) {
      this.previousViews.set(update.group, cached);
    }
    this.views.set(update.group, update);
    this.changes.next(update);
    return true;
  }
}
