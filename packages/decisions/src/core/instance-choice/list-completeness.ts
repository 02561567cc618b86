import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {GroupInstance} from '../primary-change/index.js';

/** What a log has reached if it has every commit of a group that a proxy has acknowledged. */
export interface CommitsToInclude {
  /** Position that includes all of them but unknown ones; undefined if there is none. */
  readonly position: LogPosition | undefined;
  /** Whether there is none whose position is unknown. */
  readonly isComplete: boolean;
}

/** What another proxy knows of the instances of a group. */
export interface InstanceListView {
  /** Whether the store answers its reads of the list. */
  readonly canRead: boolean;
  /** Time since it last requested a list that was answered, in milliseconds. */
  readonly ageMs: number;
  /** The instances that it knows. */
  readonly instances: readonly GroupInstance[];
  /** What it has acknowledged; undefined if it does not say. */
  readonly acknowledged?: CommitsToInclude | undefined;
}

/**
 * Returns how old the knowledge is that a list of instances is complete, for a
 * proxy that can no longer read it.
 *
 * While the store answers nobody, no proxy learns of a further instance, and
 * each acknowledges only commits that lie on a replica it knows. That begins once
 * the last view which the store confirmed has expired: an instance that joined
 * after the list was read may have confirmed commits until then. So what the
 * proxies have acknowledged has to be included as well.
 *
 * A proxy that is cut off alone must not rely on its list: others may know of an
 * instance that has joined since, and acknowledge commits that it confirmed. The
 * newer list of another proxy that names no further instance is as good as an own
 * one.
 *
 * @param own - What this proxy knows.
 * @param views - The answers of the other owners of the group; undefined for
 *   one that did not answer.
 * @param bound - Highest position of the instances that this proxy knows, as of
 *   the request or later.
 * @returns The age before the answers were requested, in milliseconds.
 */
export function instanceListAge(
  own: InstanceListView,
  views: ReadonlyArray<InstanceListView | undefined>,
  bound: LogPosition,
): number {
  const confirming = views.filter(
    view =>
      view !== undefined &&
      view.instances.every(each => includes(own.instances, each)),
  );
  const isStoreAway =
    views.length > 0 &&
    confirming.length === views.length &&
    confirming.every(view => view?.canRead === false);
  const hasCommits = [own, ...views].every(view =>
    includesCommits(bound, view?.acknowledged),
  );
  if (isStoreAway && hasCommits) return 0;
  const {ageMs} = own;
  return Math.min(ageMs, ...confirming.map(view => view?.ageMs ?? ageMs));
}

function includes(
  instances: readonly GroupInstance[],
  {id, bornAtMs}: GroupInstance,
): boolean {
  return instances.some(each => each.id === id && each.bornAtMs === bornAtMs);
}

function includesCommits(
  bound: LogPosition,
  acknowledged: CommitsToInclude | undefined,
): boolean {
  if (acknowledged === undefined) return true;
  const {position, isComplete} = acknowledged;
  const isReached =
    position === undefined || comparePositions(bound, position) >= 0;
  return isComplete && isReached;
}
