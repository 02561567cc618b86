import {comparePositions, InstanceRole} from '../groups/index.js';
import type {PlannedChange} from './planned-change-types.js';
import {PlannedChangePhase} from './planned-change-types.js';
import type {FailoverPolicy, FailoverState, KnownInstance} from './types.js';

/** Why the primary should change and to which instance. */
export interface PlannedChangeProposal {
  readonly target: string;
  readonly reason: string;
}

/** What to do next about a planned change. */
export const PlannedChangeAction = {
  Wait: 'wait',
  /** Go on to the next phase. */
  Advance: 'advance',
  /** Give up and let writes go on. */
  Abandon: 'abandon',
} as const;

/** One of the steps. */
export type PlannedChangeAction =
  (typeof PlannedChangeAction)[keyof typeof PlannedChangeAction];

/**
 * Says whether the primary should change although it works.
 *
 * @returns The wish, or undefined if all is well or no replica can take over.
 */
export function proposePlannedChange(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): PlannedChangeProposal | undefined {
  const {view} = state;
  if (view === undefined) return undefined;
  const mustGo = isLeavingOrStopping(state, view.primary);
  const successor = mustGo
    ? mostAdvancedReplica(state)
    : requestedTarget(state);
  if (successor !== undefined) {
    const reason = mustGo
      ? 'the primary is leaving or stopping'
      : 'an operator requested it';
    return {target: successor, reason};
  }
  if (hasReplicaAtHigherTerm(state, nowMs, policy)) {
    return {target: view.primary, reason: 'a replica granted a higher term'};
  }
  return undefined;
}

/** Decides the next step of a planned change. */
export function nextPlannedChangeAction(
  planned: PlannedChange,
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): PlannedChangeAction {
  const inPhaseMs = nowMs - planned.phaseSinceMs;
  switch (planned.phase) {
    case PlannedChangePhase.Draining:
      // The answers of the other owners end this phase; without them the
      // change goes on, since an instance that stops cannot wait for ever.
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

/** Whether the target holds all that the primary held after the drain. */
function hasCaughtUp(planned: PlannedChange, state: FailoverState): boolean {
  const primary = state.instances.get(state.view?.primary ?? '');
  if (primary?.report === undefined) return false;
  if (primary.askedAtMs < planned.phaseSinceMs) return false;
  if (planned.target === state.view?.primary) return true;
  const target = state.instances.get(planned.target);
  if (target?.report === undefined) return false;
  return comparePositions(target.report.position, primary.report.position) >= 0;
}

/** Whether the operator or the instance itself says that it goes. */
function isLeavingOrStopping(state: FailoverState, name: string): boolean {
  const declared = state.group.instances.find(
    instance => instance.name === name,
  );
  const isStopping = state.instances.get(name)?.report?.stopping === true;
  return isStopping || (declared !== undefined && declared.state !== 'active');
}

/** The instance that an operator wants, if it could take over now. */
function requestedTarget(state: FailoverState): string | undefined {
  const {requestedPrimary, view} = state;
  if (requestedPrimary === undefined) return undefined;
  if (requestedPrimary === view?.primary) return undefined;
  return canTakeOver(state, requestedPrimary) ? requestedPrimary : undefined;
}

/** The reachable, staying replica with the most advanced log. */
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
 * Whether a replica stays at a term that the primary does not have: it refuses
 * the primary's entries until a still higher term is led.
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
