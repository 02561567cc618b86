import {suspectingZones} from './suspicion.js';
import type {FailoverPolicy, FailoverState} from './types.js';

/**
 * Returns how long this coordinator waits for higher-ranked ones.
 *
 * A higher-ranked coordinator that has reported the primary missing adds the
 * full delay. Each of them also adds a short one, in which its report may still
 * arrive.
 *
 * @returns The delay, in milliseconds.
 */
export function electionDelayMs(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): number {
  const higherRanked = higherRankedCoordinators(state);
  const zones = new Set(suspectingZones(state, nowMs, policy));
  const reporters = [...state.suspicionReports.values()]
    .filter(({zone}) => zones.has(zone))
    .map(({reporter}) => reporter);
  const suspecting = higherRanked.filter(name => reporters.includes(name));
  return (
    suspecting.length * policy.rankDelayMs +
    higherRanked.length * policy.rankStaggerMs
  );
}

/** Returns the names of the coordinators that rank above this one. */
export function higherRankedCoordinators(
  state: FailoverState,
): readonly string[] {
  const rank = state.coordinators.indexOf(state.self);
  return rank === -1 ? state.coordinators : state.coordinators.slice(0, rank);
}
