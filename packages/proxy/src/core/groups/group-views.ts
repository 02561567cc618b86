import type {GroupView} from '@sapphireglade/decisions';
import {newerView} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';

/** Who leads each group, as far as this process knows. */
export class GroupViews {
  private readonly views = new Map<string, GroupView>();
  private readonly changes = new Subject<GroupView>();

  /** Emits each view that replaced an older one. */
  get changes$(): Observable<GroupView> {
    return this.changes;
  }

  /** The view of a group, if anything is known. */
  get(group: string): GroupView | undefined {
    return this.views.get(group);
  }

  /** All views. */
  list(): readonly GroupView[] {
    return [...this.views.values()];
  }

  /**
   * Takes in a view that may be newer.
   *
   * @returns Whether it replaced what was known.
   */
  applyIfNewer(update: GroupView): boolean {
    const known = this.views.get(update.group);
    if (newerView(known, update) === known) return false;
    this.views.set(update.group, update);
    this.changes.next(update);
    return true;
  }
}
