import type {GroupView, VoterSet} from './types.js';

/**
 * Returns how many instances form a majority.
 *
 * @param instances - Number of instances in the group.
 */
export function majorityOf(instances: number): number {
  return Math.floor(instances / 2) + 1;
}

/** Whether the named instances include a majority of a voter set. */
export function hasMajority(
  {instances}: VoterSet,
  names: Iterable<string>,
): boolean {
  const present = new Set(names);
  const count = instances.filter(name => present.has(name)).length;
  return count >= majorityOf(instances.length);
}

/** Whether two lists name the same instances. */
export function haveSameNames(
  left: readonly string[],
  right: readonly string[],
): boolean {
  const names = new Set(left);
  return names.size === right.length && right.every(name => names.has(name));
}

/**
 * Merges voter sets. Of equal sets the one of the highest term is kept.
 *
 * @returns The sets, highest term first.
 */
export function mergeVoterSets(sets: readonly VoterSet[]): VoterSet[] {
  const ordered = [...sets].sort((left, right) => right.term - left.term);
  return ordered.filter(
    (set, index) =>
      ordered.findIndex(other =>
        haveSameNames(other.instances, set.instances),
      ) === index,
  );
}

/**
 * Returns the instances whose majority confirms the writes of a view's term.
 *
 * @param declared - Names to use if the view does not know the voters.
 */
export function votersOf(
  view: GroupView | undefined,
  declared: readonly string[],
): readonly string[] {
  return view?.voterSets?.[0]?.instances ?? declared;
}
