import type {GroupInstance} from '../primary-change/index.js';

/** What another proxy knows of the instances of a group. */
export interface InstanceListView {
  /** Whether the store answers its reads of the list. */
  readonly canRead: boolean;
  /** Time since it last requested a list that was answered, in milliseconds. */
  readonly ageMs: number;
  /** The instances that it knows. */
  readonly instances: readonly GroupInstance[];
}

/**
 * Returns how old the knowledge is that a list of instances is complete, for a
 * proxy that can no longer read it.
 *
 * While the store answers nobody, no proxy learns of a further instance, and
 * each acknowledges only commits that lie on a replica it knows. A proxy that is
 * cut off alone must not rely on its list: others may know of an instance that
 * has joined since, and acknowledge commits that it confirmed. The newer list of
 * another proxy that names no further instance is as good as an own one.
 *
 * @param known - The instances that this proxy knows.
 * @param ageMs - Age of its list, in milliseconds.
 * @param views - The answers of the other owners of the group; undefined for
 *   one that did not answer.
 * @returns The age before the answers were requested, in milliseconds.
 */
export function instanceListAge(
  known: readonly GroupInstance[],
  ageMs: number,
  views: ReadonlyArray<InstanceListView | undefined>,
): number {
  const confirming = views.filter(
    view =>
      view !== undefined && view.instances.every(each => includes(known, each)),
  );
  const isStoreAway =
    views.length > 0 &&
    confirming.length === views.length &&
    confirming.every(view => view?.canRead === false);
  if (isStoreAway) return 0;
  return Math.min(ageMs, ...confirming.map(view => view?.ageMs ?? ageMs));
}

function includes(
  instances: readonly GroupInstance[],
  {id, bornAtMs}: GroupInstance,
): boolean {
  return instances.some(each => each.id === id && each.bornAtMs === bornAtMs);
}
