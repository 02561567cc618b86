import type {GroupView} from '@sapphireglade/decisions';
import {newerView} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';

/** Cached views of the groups: the primary and term of each. */
export class GroupViews {
  private readonly views = new Map<string, GroupView>();
  private readonly changes = new Subject<GroupView>();

  /** Emits each view that replaced an older one. */
  get changes$(): Observable<GroupView> {
    return this.changes;
  }

  /** Returns the view of a group, if there is one. */
  get(group: string): GroupView | undefined {
    return this.views.get(group);
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
    this.views.set(update.group, update);
    this.changes.next(update);
    return true;
  }
}
