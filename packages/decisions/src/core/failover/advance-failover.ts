import {majorityOf} from '../groups/index.js';
import {AttemptPhase} from './election-attempt-types.js';
import {advanceAttempt, grantedInstances} from './election-attempt.js';
import {electionDelayMs} from './coordinator-rank.js';
import {findFollowTargets} from './follow-targets.js';
import {requestTerm} from './request-term.js';
import {
  advancePlannedChange,
  endPlannedChange,
} from './advance-planned-change.js';
import {
  assessPrimary,
  isConfirmedMissing,
  isPrimarySuspected,
  buildSuspicionReport,
  suspectingZones,
} from './suspicion.js';
import type {
  FailoverEffect,
  FailoverPolicy,
  FailoverResult,
  FailoverState,
} from './types.js';

/** One part of the decision: a state and the time give a state and effects. */
type FailoverStage = (
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
) => FailoverResult;

/** The parts, in the order in which they are taken. */
const FAILOVER_STAGES: readonly FailoverStage[] = [
  publishView,
  endSupersededChanges,
  assessAndReportPrimary,
  updateSuspicion,
  advancePlannedChange,
  advanceElection,
  startElectionIfDue,
  requestFollow,
];

/**
 * Moves a group's failover on after an event or with time.
 *
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function advanceFailover(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const effects: FailoverEffect[] = [];
  let latest = state;
  for (const part of FAILOVER_STAGES) {
    const next = part(latest, nowMs, policy);
    latest = next.state;
    effects.push(...next.effects);
  }
  return {state: latest, effects};
}

/** Tells a view that was learnt from an instance or won here. */
function publishView(state: FailoverState): FailoverResult {
  const {view} = state;
  if (view === undefined || view.term <= state.publishedTerm) {
    return {state, effects: []};
  }
  return {
    state: {...state, publishedTerm: view.term},
    effects: [{type: 'publish', view}],
  };
}

/** Drops what a view of a higher term has settled. */
function endSupersededChanges(
  state: FailoverState,
  nowMs: number,
): FailoverResult {
  const term = state.view?.term ?? 0;
  const {attempt, plannedChange: planned} = state;
  const isAttemptOver = attempt !== undefined && attempt.term <= term;
  const remaining = isAttemptOver ? {...state, attempt: undefined} : state;
  if (planned === undefined || planned.term >= term) {
    return {state: remaining, effects: []};
  }
  return endPlannedChange(remaining, true, 'the new term is led', nowMs);
}

/** Assesses the primary and tells the other zones of a change. */
function assessAndReportPrimary(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const previous = state.assessment;
  const assessment = assessPrimary(state, nowMs);
  const assessed = {...state, assessment};
  if (!assessment.isMissing) {
    const hadReported = previous?.reportedAtMs !== undefined;
    if (!hadReported || !previous?.isMissing) {
      return {state: assessed, effects: []};
    }
    const missedMs = nowMs - previous.sinceMs;
    return {
      state: assessed,
      effects: [
        {type: 'report', report: buildSuspicionReport(assessed)},
        {
          type: 'record',
          step: {kind: 'primary-back', ...primaryFields(state), missedMs},
        },
      ],
    };
  }
  if (!isConfirmedMissing(assessment, nowMs, policy)) {
    return {state: assessed, effects: []};
  }
  return reportMissingPrimary(assessed, nowMs, policy);
}

/** Tells the other zones that the primary is missed, now and then again. */
function reportMissingPrimary(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const {assessment} = state;
  if (assessment === undefined) return {state, effects: []};
  const {reportedAtMs} = assessment;
  const isFirst = reportedAtMs === undefined;
  const isDue = isFirst || nowMs - reportedAtMs >= policy.reportIntervalMs;
  if (!isDue) return {state, effects: []};
  const effects: FailoverEffect[] = [
    {type: 'report', report: buildSuspicionReport(state)},
  ];
  if (isFirst) {
    const {reason} = assessment;
    const step = {kind: 'primary-missed', ...primaryFields(state), reason};
    effects.push({type: 'record', step: {...step, kind: 'primary-missed'}});
  }
  const updated = {...assessment, reportedAtMs: nowMs};
  return {state: {...state, assessment: updated}, effects};
}

/** Notes since when a majority of zones miss the primary. */
function updateSuspicion(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  if (!isPrimarySuspected(state, nowMs, policy)) {
    if (state.suspectedSinceMs === undefined) return {state, effects: []};
    return {state: {...state, suspectedSinceMs: undefined}, effects: []};
  }
  if (state.suspectedSinceMs !== undefined) return {state, effects: []};
  const step = {
    kind: 'primary-suspected',
    ...primaryFields(state),
    zones: suspectingZones(state, nowMs, policy).join(' '),
    reason: state.assessment?.reason ?? '',
  } as const;
  return {
    state: {...state, suspectedSinceMs: nowMs},
    effects: [{type: 'record', step}],
  };
}

/** Moves the attempt of this process on. */
function advanceElection(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const {attempt, group} = state;
  if (attempt === undefined) return {state, effects: []};
  const advanced = advanceAttempt(attempt, group, nowMs, policy);
  if (advanced.phase === AttemptPhase.Failed) {
    return endFailedAttempt(state, advanced.failure ?? '', nowMs, policy);
  }
  const isChosen =
    advanced.phase === AttemptPhase.Promoting &&
    attempt.phase === AttemptPhase.Granting;
  const updated = {...state, attempt: advanced};
  if (!isChosen || advanced.candidate === undefined) {
    return {state: updated, effects: []};
  }
  const {term, candidate} = advanced;
  const step = {
    kind: 'term-granted',
    term,
    instances: grantedInstances(advanced).join(' '),
    tookMs: nowMs - advanced.startedAtMs,
  } as const;
  return {
    state: updated,
    effects: [
      {type: 'record', step},
      {type: 'promote', instance: candidate, term},
    ],
  };
}

/** Waits before the next attempt, longer after each failure. */
function endFailedAttempt(
  state: FailoverState,
  reason: string,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const doubled = policy.retryBackoffMs * 2 ** state.failures;
  const backoffMs = Math.min(doubled, policy.maximumBackoffMs);
  const retryInMs = backoffMs + electionDelayMs(state, nowMs, policy);
  const term = state.attempt?.term ?? 0;
  const failed = {
    ...state,
    attempt: undefined,
    failures: state.failures + 1,
    retryAtMs: nowMs + retryInMs,
  };
  const step = {kind: 'attempt-failed', term, reason, retryInMs} as const;
  const ended = endPlannedChange(failed, false, reason, nowMs);
  return {
    state: ended.state,
    effects: [{type: 'record', step}, ...ended.effects],
  };
}

/** Begins an attempt when the primary is suspected and it is our turn. */
function startElectionIfDue(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const {suspectedSinceMs, termRaisedAtMs} = state;
  if (suspectedSinceMs === undefined) return {state, effects: []};
  if (state.attempt !== undefined || nowMs < state.retryAtMs) {
    return {state, effects: []};
  }
  if (!hasReachableMajority(state)) return {state, effects: []};
  const rankDelayMs = electionDelayMs(state, nowMs, policy);
  if (nowMs < suspectedSinceMs + rankDelayMs) return {state, effects: []};
  const othersUntilMs =
    termRaisedAtMs === undefined
      ? 0
      : termRaisedAtMs + policy.otherAttemptTimeoutMs + rankDelayMs;
  if (nowMs < othersUntilMs) return {state, effects: []};
  const reason = state.assessment?.reason || 'other zones miss the primary';
  return requestTerm(state, reason, undefined, nowMs);
}

/** Tells instances that are behind to follow the primary. */
function requestFollow(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const {view} = state;
  if (view === undefined) return {state, effects: []};
  const names = findFollowTargets(state, nowMs, policy);
  if (names.length === 0) return {state, effects: []};
  const told = new Map(state.followRequestedAtMs);
  for (const name of names) told.set(name, nowMs);
  const {term, primary} = view;
  return {
    state: {...state, followRequestedAtMs: told},
    effects: names.map(instance => ({
      type: 'follow' as const,
      instance,
      term,
      primary,
    })),
  };
}

/** Whether an attempt could succeed from here. */
function hasReachableMajority(state: FailoverState): boolean {
  const reachable = [...state.instances.values()].filter(
    known => known.isReachable === true,
  );
  return reachable.length >= majorityOf(state.group.instances.length);
}

function primaryFields(state: FailoverState): {primary: string; term: number} {
  const {view} = state;
  return {primary: view?.primary ?? '', term: view?.term ?? 0};
}
