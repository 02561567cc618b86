import {InstanceRole} from '../groups/index.js';
import type {FailoverPolicy, FailoverState, KnownInstance} from './types.js';

/**
 * Lists the instances that should be sent a follow request now.
 *
 * Every lead owner sends its first request at once. The one in the zone of the
 * instance repeats it after one interval, the others after three, so that they
 * repeat it only if the instance stays behind. A repeated follow request is
 * harmless.
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
      const requestedAtMs = state.followRequestedAtMs.get(name);
      return requestedAtMs === undefined || nowMs - requestedAtMs >= waitMs;
    })
    .map(({name}) => name);
}

/**
 * Whether a reachable instance has an older term than the view, or acts as a
 * primary without being the primary of the view.
 */
function needsToFollow(
  known: KnownInstance | undefined,
  term: number,
): boolean {
  const report = known?.report;
  if (report === undefined || known?.isReachable === false) return false;
  if (report.grantedTerm > term) return false;
  const isBehind = report.term < term;
  const isWrongPrimary = report.role === InstanceRole.Primary;
  return isBehind || isWrongPrimary;
}
