/**
 * State machine that gets one change of one resource accepted.
 *
 * The body is written first, under its own key; the compare-and-swap of the head
 * accepts the change. If the swap gets no answer, its outcome is uncertain: it
 * may have taken effect or may still do so. The outcome is certain only when a
 * head with a version higher than the expected one is read, because a swap that
 * has not taken effect by then never will. Until then the same swap is sent
 * again; it can take effect at most once.
 */
import type {BackoffPolicy} from '../backoff/index.js';
import {computeBackoffMs} from '../backoff/index.js';
import type {ChangeProposal, PreparedWrite} from './proposal.js';
import {
  headContainsWrite,
  prepareWrite,
  findResourceVersion,
} from './proposal.js';
import type {ConfigurationHead} from './store-layout.js';
import {encodeHead, MAXIMUM_HEAD_LENGTH} from './store-layout.js';

/** Delays between attempts after the store failed or refused a call. */
const RETRY_POLICY: BackoffPolicy = {initialMs: 40, maximumMs: 1_000};

/** Maximum repeated reads while the store returns an older version than expected. */
const MAXIMUM_STALE_READS = 5;

/** A head together with its version in the store. */
export interface StoredHead {
  /** Version of the head key in the store. */
  readonly storeVersion: number;
  readonly head: ConfigurationHead;
}

/** The pending step of a change. */
export type AcceptancePhase =
  | {readonly step: 'reading'}
  | {
      readonly step: 'writing-body';
      readonly on: StoredHead;
      readonly placed: PreparedWrite;
    }
  | {
      readonly step: 'swapping';
      readonly on: StoredHead;
      readonly placed: PreparedWrite;
    }
  | {readonly step: 'waiting'}
  | {readonly step: 'finished'; readonly result: AcceptanceResult};

/** The outcome of a change. */
export type AcceptanceResult =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      readonly version: number;
    }
  | {
      readonly kind: 'conflict';
      readonly expected: number;
      readonly current: number;
    }
  | {readonly kind: 'not-accepted'}
  /** The head would be longer than the store allows. */
  | {readonly kind: 'full'}
  | {readonly kind: 'unknown'};

/** The state of one change that is being processed. */
export interface AcceptanceState {
  readonly proposal: ChangeProposal;
  /** Monotonic time at which the operator stops waiting, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly phase: AcceptancePhase;
  /** The swap whose answer was lost, if any. */
  readonly doubt: UncertainSwap | undefined;
  readonly failures: number;
  readonly staleReads: number;
}

/** A swap that may have taken effect, or may still do so. */
export interface UncertainSwap {
  readonly on: StoredHead;
  readonly placed: PreparedWrite;
}

/** The outcome of an effect. */
export type AcceptanceEvent =
  | {readonly type: 'head-read'; readonly stored: StoredHead}
  /** The body is stored, by this attempt or an earlier one of this change. */
  | {readonly type: 'body-written'}
  | {
      readonly type: 'swap-answered';
      readonly swapped: boolean;
      /** The current head, which may be from another change. */
      readonly stored: StoredHead;
    }
  | {
      readonly type: 'store-failed';
      /** False if the store reported that it executed nothing. */
      readonly mayHaveTakenEffect: boolean;
    }
  | {readonly type: 'retry-due'};

/** The action that the caller executes next. */
export type AcceptanceEffect =
  | {readonly type: 'read-head'}
  | {readonly type: 'write-body'; readonly key: string; readonly value: string}
  | {
      readonly type: 'swap-head';
      readonly expectedStoreVersion: number;
      readonly head: ConfigurationHead;
    }
  | {readonly type: 'wait'; readonly durationMs: number}
  | {readonly type: 'finish'; readonly result: AcceptanceResult};

/** The next state and the action to execute. */
export interface AcceptanceStep {
  readonly state: AcceptanceState;
  readonly effect: AcceptanceEffect;
}

/** The current time and a random number. */
export interface AcceptanceContext {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** A random number from 0 up to 1. */
  readonly random: number;
}

/**
 * Creates the initial state of a change.
 *
 * @param proposal - The change.
 * @param deadlineAtMs - Monotonic time at which the operator stops waiting.
 */
export function beginAcceptance(
  proposal: ChangeProposal,
  deadlineAtMs: number,
): AcceptanceStep {
  return {
    state: {
      proposal,
      deadlineAtMs,
      phase: {step: 'reading'},
      doubt: undefined,
      failures: 0,
      staleReads: 0,
    },
    effect: {type: 'read-head'},
  };
}

/**
 * Applies one event to a change.
 *
 * @returns The next state and the action; the outcome of the action is the next
 *   event.
 */
export function advanceAcceptance(
  state: AcceptanceState,
  event: AcceptanceEvent,
  context: AcceptanceContext,
): AcceptanceStep {
  switch (event.type) {
    case 'head-read':
      return onHead(state, event.stored, context);
    case 'body-written':
      return swapHead(state);
    case 'swap-answered':
      return onSwapAnswered(state, event.swapped, event.stored, context);
    case 'store-failed':
      return onFailure(state, event.mayHaveTakenEffect, context);
    case 'retry-due':
      return {
        state: {...state, phase: {step: 'reading'}},
        effect: {type: 'read-head'},
      };
  }
}

/** Handles a head that was read or returned with a refused swap. */
function onHead(
  state: AcceptanceState,
  stored: StoredHead,
  context: AcceptanceContext,
): AcceptanceStep {
  const {proposal, doubt} = state;
  if (headContainsWrite(stored.head, proposal.writeId)) {
    return accept(state, stored, doubt);
  }
  if (doubt !== undefined) {
    return onHeadWithUncertainSwap(state, doubt, stored, context);
  }
  return prepareOnHead(state, stored, context);
}

/** Handles a head that does not contain a swap whose outcome is uncertain. */
function onHeadWithUncertainSwap(
  state: AcceptanceState,
  doubt: UncertainSwap,
  stored: StoredHead,
  context: AcceptanceContext,
): AcceptanceStep {
  const hasMoved = stored.storeVersion > doubt.on.storeVersion;
  if (!hasMoved) {
    if (isPastDeadline(state, context)) return finish(state, {kind: 'unknown'});
    return swapHead({...state, phase: {step: 'writing-body', ...doubt}});
  }
  const certain = {...state, doubt: undefined};
  if (mayHaveDroppedWrite(stored.head, doubt)) {
    return finish(certain, {kind: 'unknown'});
  }
  return prepareOnHead(certain, stored, context);
}

/**
 * Returns whether so many changes followed the swap that the head may no longer
 * list its write identifier.
 */
function mayHaveDroppedWrite(
  head: ConfigurationHead,
  doubt: UncertainSwap,
): boolean {
  const newerChanges = head.revision - doubt.on.head.revision;
  return newerChanges > head.recentWrites.length;
}

/** Prepares the write on a head when no swap is uncertain. */
function prepareOnHead(
  state: AcceptanceState,
  on: StoredHead,
  context: AcceptanceContext,
): AcceptanceStep {
  if (isPastDeadline(state, context))
    return finish(state, {kind: 'not-accepted'});
  const {proposal} = state;
  const current = findResourceVersion(on.head, proposal.key);
  const expected = proposal.expectedVersion;
  if (current < expected && state.staleReads < MAXIMUM_STALE_READS) {
    const staleReads = state.staleReads + 1;
    return waitBeforeRetry({...state, staleReads}, context);
  }
  if (current !== expected) {
    return finish(state, {kind: 'conflict', expected, current});
  }
  const placed = prepareWrite(proposal, on.head);
  if (encodeHead(placed.head).length > MAXIMUM_HEAD_LENGTH) {
    return finish(state, {kind: 'full'});
  }
  const next: AcceptanceState = {
    ...state,
    phase: {step: 'writing-body', on, placed},
  };
  if (placed.bodyKey === null || placed.body === null) return swapHead(next);
  return {
    state: next,
    effect: {type: 'write-body', key: placed.bodyKey, value: placed.body},
  };
}

/** Sends the swap after its body was stored. */
function swapHead(state: AcceptanceState): AcceptanceStep {
  const {phase} = state;
  if (phase.step !== 'writing-body') return rereadHead(state);
  const {on, placed} = phase;
  return {
    state: {...state, phase: {step: 'swapping', on, placed}},
    effect: {
      type: 'swap-head',
      expectedStoreVersion: on.storeVersion,
      head: placed.head,
    },
  };
}

function onSwapAnswered(
  state: AcceptanceState,
  swapped: boolean,
  stored: StoredHead,
  context: AcceptanceContext,
): AcceptanceStep {
  const {phase} = state;
  if (phase.step !== 'swapping') return rereadHead(state);
  if (!swapped) return onHead(state, stored, context);
  return finish(state, toAcceptedResult(phase.placed));
}

/** Accepts a change whose write identifier is in the head. */
function accept(
  state: AcceptanceState,
  stored: StoredHead,
  doubt: UncertainSwap | undefined,
): AcceptanceStep {
  if (doubt !== undefined) return finish(state, toAcceptedResult(doubt.placed));
  return finish(state, {
    kind: 'accepted',
    revision: stored.head.revision,
    version: findResourceVersion(stored.head, state.proposal.key),
  });
}

function toAcceptedResult(placed: PreparedWrite): AcceptanceResult {
  const {version, head} = placed;
  return {kind: 'accepted', revision: head.revision, version};
}

/** Marks a swap without an answer as uncertain and schedules a retry. */
function onFailure(
  state: AcceptanceState,
  mayHaveTakenEffect: boolean,
  context: AcceptanceContext,
): AcceptanceStep {
  const {phase} = state;
  if (phase.step !== 'swapping' || !mayHaveTakenEffect) {
    return waitBeforeRetry(state, context);
  }
  const doubt = {on: phase.on, placed: phase.placed};
  return waitBeforeRetry({...state, doubt}, context);
}

/** Waits with backoff, or finishes the change after its deadline. */
function waitBeforeRetry(
  state: AcceptanceState,
  context: AcceptanceContext,
): AcceptanceStep {
  if (isPastDeadline(state, context)) {
    const kind = state.doubt === undefined ? 'not-accepted' : 'unknown';
    return finish(state, {kind});
  }
  const failures = state.failures + 1;
  return {
    state: {...state, failures, phase: {step: 'waiting'}},
    effect: {
      type: 'wait',
      durationMs: computeBackoffMs(RETRY_POLICY, failures, context.random),
    },
  };
}

function isPastDeadline(
  state: AcceptanceState,
  context: AcceptanceContext,
): boolean {
  return context.nowMs >= state.deadlineAtMs;
}

function finish(
  state: AcceptanceState,
  result: AcceptanceResult,
): AcceptanceStep {
  return {
    state: {...state, phase: {step: 'finished', result}},
    effect: {type: 'finish', result},
  };
}

/** Reads the head again after an event that does not match the phase. */
function rereadHead(state: AcceptanceState): AcceptanceStep {
  return {
    state: {...state, phase: {step: 'reading'}},
    effect: {type: 'read-head'},
  };
}
