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
import {hasReachableQuorum, updateEstablishedTerm} from './voter-sets.js';

/** One stage: maps a state and a time to a new state and effects. */
type FailoverStage = (
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
) => FailoverResult;

/** The stages, in the order in which they run. */
const FAILOVER_STAGES: readonly FailoverStage[] = [
  establishTerm,
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
 * Runs all stages of a group's failover after an event or a tick.
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
  for (const stage of FAILOVER_STAGES) {
    const next = stage(latest, nowMs, policy);
    latest = next.state;
    effects.push(...next.effects);
  }
  return {state: latest, effects};
}

/** Notes that the voters of the term hold all that earlier ones confirmed. */
function establishTerm(state: FailoverState): FailoverResult {
  return {state: updateEstablishedTerm(state), effects: []};
}

/** Publishes a view that an instance reported or that was elected here. */
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

/** Ends the attempt and the planned change that a higher term supersedes. */
function endSupersededChanges(
  state: FailoverState,
  nowMs: number,
): FailoverResult {
  const term = state.view?.term ?? 0;
  const {attempt, plannedChange: planned} = state;
  const isAttemptOver = attempt !== undefined && attempt.term <= term;
  const current = isAttemptOver ? {...state, attempt: undefined} : state;
  if (planned === undefined || planned.term >= term) {
    return {state: current, effects: []};
  }
  return endPlannedChange(
    current,
    true,
    'a primary of the new term is known',
    nowMs,
  );
}

/** Assesses the primary and reports a change to the other zones. */
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

/** Reports a missing primary to the other zones at a fixed interval. */
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

/** Records since when a majority of zones report the primary missing. */
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

/** Advances the attempt of this process, and promotes the candidate. */
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
  const {term, candidate, voterSets = []} = advanced;
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
      {type: 'promote', instance: candidate, term, voterSets},
    ],
  };
}

/** Ends a failed attempt and delays the next one with exponential backoff. */
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

/**
 * Begins an attempt if the primary is suspected and the delay for the rank of
 * this coordinator has passed.
 */
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
  if (!hasReachableQuorum(state)) return {state, effects: []};
  const rankDelayMs = electionDelayMs(state, nowMs, policy);
  if (nowMs < suspectedSinceMs + rankDelayMs) return {state, effects: []};
  const otherAttemptUntilMs =
    termRaisedAtMs === undefined
      ? 0
      : termRaisedAtMs + policy.otherAttemptTimeoutMs + rankDelayMs;
  if (nowMs < otherAttemptUntilMs) return {state, effects: []};
  const reason =
    state.assessment?.reason || 'other zones report the primary missing';
  return requestTerm(state, reason, undefined, nowMs);
}

/** Sends follow requests to instances that are behind the term of the view. */
function requestFollow(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const {view} = state;
  if (view === undefined) return {state, effects: []};
  const names = findFollowTargets(state, nowMs, policy);
  if (names.length === 0) return {state, effects: []};
  const requestedAtMs = new Map(state.followRequestedAtMs);
  for (const name of names) requestedAtMs.set(name, nowMs);
  const {term, primary, voterSets} = view;
  return {
    state: {...state, followRequestedAtMs: requestedAtMs},
    effects: names.map(instance => ({
      type: 'follow' as const,
      instance,
      term,
      primary,
      voterSets,
    })),
  };
}

function primaryFields(state: FailoverState): {primary: string; term: number} {
  const {view} = state;
  return {primary: view?.primary ?? '', term: view?.term ?? 0};
}
