import {InstanceRole} from '../groups/index.js';
import type {FailoverPolicy, FailoverState, KnownInstance} from './types.js';

/**
 * Lists the instances that should be told to follow the primary now.
 *
 * The lead owner of an instance's own zone tells it at once, the others only
 * if it stays behind. Following twice is harmless.
 *
 * @returns Names of the instances.
 */
export function findFollowTargets(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): string[] {
  const {view} = state;
  if (view === undefined) return [];
  return state.group.instances
    .filter(({name, zone}) => {
      if (name === view.primary) return false;
      if (!needsToFollow(state.instances.get(name), view.term)) return false;
      const waitMs = policy.followIntervalMs * (zone === state.zone ? 1 : 3);
      const toldAtMs = state.followRequestedAtMs.get(name);
      return toldAtMs === undefined || nowMs - toldAtMs >= waitMs;
    })
    .map(({name}) => name);
}

/** Whether an instance that can be reached is behind the term of the view. */
function needsToFollow(
  known: KnownInstance | undefined,
  term: number,
): boolean {
  const report = known?.report;
  if (report === undefined || known?.isReachable === false) return false;
  if (report.grantedTerm > term) return false;
  const isBehind = report.term < term;
  const leadsWrongly = report.role === InstanceRole.Primary;
  return isBehind || leadsWrongly;
}
