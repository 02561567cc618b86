import {comparePositions, InstanceRole} from '../groups/index.js';
import type {PlannedChange} from './planned-change-types.js';
import {PlannedChangePhase} from './planned-change-types.js';
import {hasReachableQuorum, isVoterChangeDue} from './voter-sets.js';
import type {FailoverPolicy, FailoverState, KnownInstance} from './types.js';

/** A proposed change of primary: its target and its reason. */
export interface PlannedChangeProposal {
  readonly target: string;
  readonly reason: string;
}

/** Next action for a planned change. */
export const PlannedChangeAction = {
  Wait: 'wait',
  /** Enter the next phase. */
  Advance: 'advance',
  /** End the change and release held writes. */
  Abandon: 'abandon',
} as const;

/** One of the actions. */
export type PlannedChangeAction =
  (typeof PlannedChangeAction)[keyof typeof PlannedChangeAction];

/**
 * Proposes a change of a primary that works, if one is due.
 *
 * @returns The proposal, or undefined if none is due or no replica can take
 *   over.
 */
export function proposePlannedChange(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): PlannedChangeProposal | undefined {
  const {view} = state;
  if (view === undefined || !hasReachableQuorum(state)) return undefined;
  const mustReplace = isLeavingOrStopping(state, view.primary);
  const successor = mustReplace
    ? mostAdvancedReplica(state)
    : requestedTarget(state);
  if (successor !== undefined) {
    const reason = mustReplace
      ? 'the primary is leaving or stopping'
      : 'an operator requested it';
    return {target: successor, reason};
  }
  if (isVoterChangeDue(state)) {
    return {target: view.primary, reason: 'the instances of the group changed'};
  }
  if (hasReplicaAtHigherTerm(state, nowMs, policy)) {
    return {target: view.primary, reason: 'a replica granted a higher term'};
  }
  return undefined;
}

/** Returns the next action for a planned change. */
export function nextPlannedChangeAction(
  planned: PlannedChange,
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): PlannedChangeAction {
  const inPhaseMs = nowMs - planned.phaseSinceMs;
  switch (planned.phase) {
    case PlannedChangePhase.Draining:
      // The answers of the other owners end this phase. Without them the
      // change continues after the time-out, because an instance that is
      // stopping cannot wait forever.
      return inPhaseMs >= policy.drainTimeoutMs
        ? PlannedChangeAction.Advance
        : PlannedChangeAction.Wait;
    case PlannedChangePhase.CatchingUp:
      if (hasCaughtUp(planned, state)) return PlannedChangeAction.Advance;
      return inPhaseMs >= policy.catchUpTimeoutMs
        ? PlannedChangeAction.Abandon
        : PlannedChangeAction.Wait;
    case PlannedChangePhase.Electing:
      return PlannedChangeAction.Wait;
  }
}

/** Whether the target has every entry that the primary had after the drain. */
function hasCaughtUp(planned: PlannedChange, state: FailoverState): boolean {
  const primary = state.instances.get(state.view?.primary ?? '');
  if (primary?.report === undefined) return false;
  if (primary.askedAtMs < planned.phaseSinceMs) return false;
  if (planned.target === state.view?.primary) return true;
  const target = state.instances.get(planned.target);
  if (target?.report === undefined) return false;
  return comparePositions(target.report.position, primary.report.position) >= 0;
}

/** Whether an instance is set to leave or reports that it is stopping. */
function isLeavingOrStopping(state: FailoverState, name: string): boolean {
  const declared = state.group.instances.find(
    instance => instance.name === name,
  );
  const isStopping = state.instances.get(name)?.report?.stopping === true;
  return isStopping || (declared !== undefined && declared.state !== 'active');
}

/** Returns the requested primary if it can take over now. */
function requestedTarget(state: FailoverState): string | undefined {
  const {requestedPrimary, view} = state;
  if (requestedPrimary === undefined) return undefined;
  if (requestedPrimary === view?.primary) return undefined;
  return canTakeOver(state, requestedPrimary) ? requestedPrimary : undefined;
}

/** Returns the most advanced reachable replica that is not leaving. */
function mostAdvancedReplica(state: FailoverState): string | undefined {
  const candidates = state.group.instances
    .map(({name}) => name)
    .filter(name => name !== state.view?.primary && canTakeOver(state, name));
  if (candidates.length === 0) return undefined;
  return candidates.reduce((best, name) =>
    isBehind(state.instances.get(best), state.instances.get(name))
      ? name
      : best,
  );
}

function canTakeOver(state: FailoverState, name: string): boolean {
  const known = state.instances.get(name);
  if (known?.report === undefined || known.isReachable === false) return false;
  const {term, grantedTerm} = known.report;
  const isInTerm = term === state.view?.term && grantedTerm === term;
  return isInTerm && !isLeavingOrStopping(state, name);
}

function isBehind(
  left: KnownInstance | undefined,
  right: KnownInstance | undefined,
): boolean {
  if (left?.report === undefined) return true;
  if (right?.report === undefined) return false;
  return comparePositions(left.report.position, right.report.position) < 0;
}

/**
 * Whether a replica has had a higher term than the view for longer than the
 * grace period. It refuses the primary's entries until a primary has a term
 * that is higher still.
 */
function hasReplicaAtHigherTerm(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): boolean {
  return state.group.instances.some(({name}) => {
    const known = state.instances.get(name);
    if (known?.report === undefined || known.isReachable === false) {
      return false;
    }
    if (known.report.role === InstanceRole.Primary) return false;
    if (known.higherTermSinceMs === undefined) return false;
    return nowMs - known.higherTermSinceMs >= policy.higherTermGraceMs;
  });
}
