import {suspectingZones} from './suspicion.js';
import type {FailoverPolicy, FailoverState} from './types.js';

/**
 * Says how long this coordinator lets better-ranked ones go first.
 *
 * A better-ranked coordinator that has reported that it misses the primary
 * gets the whole delay; for the others a short one is enough in which their
 * report may still arrive.
 *
 * @returns The wait, in milliseconds.
 */
export function electionDelayMs(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): number {
  const better = higherRankedCoordinators(state);
  const zones = new Set(suspectingZones(state, nowMs, policy));
  const reporters = [...state.suspicionReports.values()]
    .filter(({zone}) => zones.has(zone))
    .map(({reporter}) => reporter);
  const ready = better.filter(name => reporters.includes(name));
  return (
    ready.length * policy.rankDelayMs + better.length * policy.rankStaggerMs
  );
}

/** Names of the coordinators that should act before this one. */
export function higherRankedCoordinators(
  state: FailoverState,
): readonly string[] {
  const rank = state.coordinators.indexOf(state.self);
  return rank === -1 ? state.coordinators : state.coordinators.slice(0, rank);
}
