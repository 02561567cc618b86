import type {GroupView} from '../groups/index.js';
import type {GroupResource} from '../resources/index.js';
import {adoptView} from './adopt-view.js';
import {advanceFailover} from './advance-failover.js';
import {haveSameNames} from '../groups/index.js';
import {AttemptPhase} from './election-attempt-types.js';
import {failAttempt, recordGrantAnswer} from './election-attempt.js';
import {observeReport} from './observe-report.js';
import {PlannedChangePhase} from './planned-change-types.js';
import type {
  FailoverEffect,
  FailoverEvent,
  FailoverPolicy,
  FailoverResult,
  FailoverState,
  KnownInstance,
} from './types.js';
import {PromotionOutcome} from './types.js';
import {observeVoterSets, requireVoterSets} from './voter-sets.js';

/** State of an instance that has not been observed. */
const UNOBSERVED_INSTANCE: KnownInstance = {askedAtMs: 0, answeredAtMs: 0};

/** Initial inputs of a group's failover. */
export interface FailoverOptions {
  /** Name of this process. */
  readonly self: string;
  /** Zone of this process. */
  readonly zone: string;
  readonly group: GroupResource;
  /** Names of the coordinators, highest rank first. */
  readonly coordinators: readonly string[];
  readonly view?: GroupView;
}

/** Creates the state of a group's failover before any observation. */
export function createFailoverState(options: FailoverOptions): FailoverState {
  return {
    ...options,
    publishedTerm: options.view?.term ?? 0,
    assumedVoters: options.group.instances.map(({name}) => name),
    laterVoterSets: [],
    knowsLedTerm: options.view !== undefined,
    establishedTerm: 0,
    instances: new Map(
      options.group.instances.map(
        ({name}) => [name, UNOBSERVED_INSTANCE] as const,
      ),
    ),
    suspicionReports: new Map(),
    viewAdoptedAtMs: 0,
    highestTerm: options.view?.term ?? 0,
    failures: 0,
    retryAtMs: 0,
    plannedRetryAtMs: 0,
    followRequestedAtMs: new Map(),
  };
}

/**
 * Applies an event and advances the failover.
 *
 * @param state - The current state.
 * @param event - The event to apply.
 * @param nowMs - Monotonic time, in milliseconds.
 * @param policy - Time-outs.
 * @returns The new state, and the effects to carry out.
 */
export function stepFailover(
  state: FailoverState,
  event: FailoverEvent,
  nowMs: number,
  policy: FailoverPolicy,
): FailoverResult {
  const received = applyEvent(state, event, nowMs);
  const advanced = advanceFailover(received.state, nowMs, policy);
  return {
    state: advanced.state,
    effects: [...received.effects, ...advanced.effects],
  };
}

/** Applies the event to the state. */
function applyEvent(
  state: FailoverState,
  event: FailoverEvent,
  nowMs: number,
): FailoverResult {
  switch (event.type) {
    case 'configured':
      return withoutEffects(applyConfiguration(state, event));
    case 'reported':
      return withoutEffects(observeReport(state, event, nowMs));
    case 'unreachable':
      return withoutEffects(
        markUnreachable(state, event.instance, event.reason),
      );
    case 'suspicion': {
      const received = {...event.report, receivedAtMs: nowMs};
      const reports = new Map(state.suspicionReports).set(
        event.report.zone,
        received,
      );
      return withoutEffects({...state, suspicionReports: reports});
    }
    case 'view':
      return withoutEffects(receivePublishedView(state, event.view, nowMs));
    case 'grant-answer':
      return withoutEffects(receiveGrantAnswer(state, event, nowMs));
    case 'promotion-answer':
      return receivePromotionAnswer(state, event, nowMs);
    case 'follow-answer':
      return receiveFollowAnswer(state, event);
    case 'writes-drained':
      return withoutEffects(receiveWritesDrained(state, event.term, nowMs));
    case 'tick':
      return withoutEffects(state);
  }
}

function withoutEffects(state: FailoverState): FailoverResult {
  return {state, effects: []};
}

/**
 * Applies the declaration of the group. Grants of the former instances say
 * nothing about a majority of the present ones, so a request for a term has to
 * begin anew; each promotion rests on the grants of one list.
 */
function applyConfiguration(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'configured'}>,
): FailoverState {
  const {group, version, coordinators, requestedPrimary} = event;
  const instances = new Map(
    group.instances.map(({name}) => {
      const known = state.instances.get(name) ?? UNOBSERVED_INSTANCE;
      return [name, known] as const;
    }),
  );
  const isGranting = state.attempt?.phase === AttemptPhase.Granting;
  const attempt =
    isGranting && !haveSameInstances(state.group, group)
      ? failAttempt(state.attempt, 'the instances of the group changed')
      : state.attempt;
  return {
    ...state,
    group,
    declaredVersion: version,
    coordinators,
    requestedPrimary,
    instances,
    attempt,
  };
}

function haveSameInstances(left: GroupResource, right: GroupResource): boolean {
  return haveSameNames(
    left.instances.map(({name}) => name),
    right.instances.map(({name}) => name),
  );
}

function markUnreachable(
  state: FailoverState,
  name: string,
  reason: string,
): FailoverState {
  const known = state.instances.get(name);
  if (known === undefined) return state;
  const instances = new Map(state.instances);
  instances.set(name, {...known, isReachable: false, reason});
  return {...state, instances};
}

/** Adopts a published view without publishing it again. */
function receivePublishedView(
  state: FailoverState,
  view: GroupView,
  nowMs: number,
): FailoverState {
  const publishedTerm = Math.max(state.publishedTerm, view.term);
  return adoptView({...state, publishedTerm}, view, nowMs);
}

function receiveGrantAnswer(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'grant-answer'}>,
  nowMs: number,
): FailoverState {
  const {attempt, group} = state;
  const grantedTerm = event.answer?.grantedTerm ?? 0;
  const highestTerm = Math.max(state.highestTerm, grantedTerm);
  const {instance, answer} = event;
  const observed = observeVoterSets({...state, highestTerm}, answer ?? {});
  if (attempt?.term !== event.term) return observed;
  if (attempt.phase !== AttemptPhase.Granting) return observed;
  const required = requireVoterSets(attempt, observed);
  const updated = recordGrantAnswer(required, group, instance, answer, nowMs);
  return {...observed, attempt: updated};
}

function receivePromotionAnswer(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'promotion-answer'}>,
  nowMs: number,
): FailoverResult {
  const {attempt} = state;
  if (attempt?.term !== event.term) return withoutEffects(state);
  if (attempt.phase !== AttemptPhase.Promoting) return withoutEffects(state);
  if (event.outcome !== PromotionOutcome.Promoted) {
    const failure = `the promotion of ${event.instance} was ${event.outcome}`;
    return withoutEffects({...state, attempt: failAttempt(attempt, failure)});
  }
  const position = attempt.answers.get(event.instance)?.position.position ?? 0;
  const view: GroupView = {
    group: state.group.name,
    term: event.term,
    primary: event.instance,
    termStarts: event.termStarts ?? [{term: event.term, position}],
    voterSets: attempt.voterSets,
  };
  const effects: FailoverEffect[] = [
    {
      type: 'record',
      step: {
        kind: 'primary-promoted',
        term: event.term,
        primary: event.instance,
        position,
        tookMs: nowMs - attempt.startedAtMs,
      },
    },
  ];
  return {state: adoptView(state, view, nowMs), effects};
}

function receiveFollowAnswer(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'follow-answer'}>,
): FailoverResult {
  if (event.droppedEntries === 0) return withoutEffects(state);
  const step = {
    kind: 'tail-dropped',
    instance: event.instance,
    term: event.term,
    entries: event.droppedEntries,
  } as const;
  return {state, effects: [{type: 'record', step}]};
}

function receiveWritesDrained(
  state: FailoverState,
  term: number,
  nowMs: number,
): FailoverState {
  const {plannedChange: planned} = state;
  if (planned === undefined || planned.term !== term) return state;
  if (planned.phase !== PlannedChangePhase.Draining) return state;
  const phase = PlannedChangePhase.CatchingUp;
  return {...state, plannedChange: {...planned, phase, phaseSinceMs: nowMs}};
}
