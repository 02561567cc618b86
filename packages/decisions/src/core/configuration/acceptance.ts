/**
 * Carries one change of one resource to its acceptance.
 *
 * The body is written first, under a key of its own; the compare-and-swap of
 * the head accepts the change. An answer that does not come leaves the swap in
 * doubt: it may have taken effect, it may still do so. The doubt ends only
 * when the head is seen at a version past the expected one, because a swap
 * that has not taken effect by then never will. Until then the same swap is
 * sent again, which can take effect once at most.
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

/** Waits after the store failed or refused. */
const RETRY_POLICY: BackoffPolicy = {initialMs: 40, maximumMs: 1_000};

/** Reads that show an older version than the operator has seen are repeated. */
const MAXIMUM_STALE_READS = 5;

/** The head with its version in the store. */
export interface StoredHead {
  /** Version of the head key in the store. */
  readonly storeVersion: number;
  readonly head: ConfigurationHead;
}

/** What a change waits for. */
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

/** How a change ended. */
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

/** The state of one change on its way. */
export interface AcceptanceState {
  readonly proposal: ChangeProposal;
  /** Monotonic time at which the operator stops waiting, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly phase: AcceptancePhase;
  /** The swap whose answer did not come, if there is one. */
  readonly doubt: UncertainSwap | undefined;
  readonly failures: number;
  readonly staleReads: number;
}

/** A swap that may have taken effect, or may still do so. */
export interface UncertainSwap {
  readonly on: StoredHead;
  readonly placed: PreparedWrite;
}

/** What happened in the store. */
export type AcceptanceEvent =
  | {readonly type: 'head-read'; readonly stored: StoredHead}
  /** The body is there, written now or by an earlier attempt of this change. */
  | {readonly type: 'body-written'}
  | {
      readonly type: 'swap-answered';
      readonly swapped: boolean;
      /** The head after the answer, whoever made it. */
      readonly stored: StoredHead;
    }
  | {
      readonly type: 'store-failed';
      /** False if the store itself said that nothing was done. */
      readonly mayHaveTakenEffect: boolean;
    }
  | {readonly type: 'retry-due'};

/** What has to be done next. */
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

/** The next state and the one thing to do. */
export interface AcceptanceStep {
  readonly state: AcceptanceState;
  readonly effect: AcceptanceEffect;
}

/** Time and chance, passed in. */
export interface AcceptanceContext {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** A random number from 0 up to 1. */
  readonly random: number;
}

/**
 * Begins a change.
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
 * Takes one event into a change.
 *
 * @returns The next state, and what to do; its outcome is the next event.
 */
export function advanceAcceptance(
  state: AcceptanceState,
  event: AcceptanceEvent,
  input: AcceptanceContext,
): AcceptanceStep {
  switch (event.type) {
    case 'head-read':
      return onHead(state, event.stored, input);
    case 'body-written':
      return swapHead(state);
    case 'swap-answered':
      return onSwapAnswered(state, event.swapped, event.stored, input);
    case 'store-failed':
      return onFailure(state, event.mayHaveTakenEffect, input);
    case 'retry-due':
      return {
        state: {...state, phase: {step: 'reading'}},
        effect: {type: 'read-head'},
      };
  }
}

/** Decides upon a head that was read, or that refused a swap. */
function onHead(
  state: AcceptanceState,
  stored: StoredHead,
  input: AcceptanceContext,
): AcceptanceStep {
  const {proposal, doubt} = state;
  if (headContainsWrite(stored.head, proposal.writeId)) {
    return accept(state, stored, doubt);
  }
  if (doubt !== undefined) {
    return onHeadWithUncertainSwap(state, doubt, stored, input);
  }
  return prepareOnHead(state, stored, input);
}

/** Decides upon a head that does not show a swap that is in doubt. */
function onHeadWithUncertainSwap(
  state: AcceptanceState,
  doubt: UncertainSwap,
  stored: StoredHead,
  input: AcceptanceContext,
): AcceptanceStep {
  const hasMoved = stored.storeVersion > doubt.on.storeVersion;
  if (!hasMoved) {
    if (isPastDeadline(state, input)) return finish(state, {kind: 'unknown'});
    return swapHead({...state, phase: {step: 'writing-body', ...doubt}});
  }
  const rest = {...state, doubt: undefined};
  if (mayHaveDroppedWrite(stored.head, doubt)) {
    return finish(rest, {kind: 'unknown'});
  }
  return prepareOnHead(rest, stored, input);
}

/** Whether so many changes came after the swap that the head forgot it. */
function mayHaveDroppedWrite(
  head: ConfigurationHead,
  doubt: UncertainSwap,
): boolean {
  const changes = head.revision - doubt.on.head.revision;
  return changes > head.recentWrites.length;
}

/** Places the proposal on a head without a swap in doubt. */
function prepareOnHead(
  state: AcceptanceState,
  on: StoredHead,
  input: AcceptanceContext,
): AcceptanceStep {
  if (isPastDeadline(state, input))
    return finish(state, {kind: 'not-accepted'});
  const {proposal} = state;
  const current = findResourceVersion(on.head, proposal.key);
  const expected = proposal.expectedVersion;
  if (current < expected && state.staleReads < MAXIMUM_STALE_READS) {
    const staleReads = state.staleReads + 1;
    return waitBeforeRetry({...state, staleReads}, input);
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

/** Sends the swap whose body is in the store. */
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
  input: AcceptanceContext,
): AcceptanceStep {
  const {phase} = state;
  if (phase.step !== 'swapping') return rereadHead(state);
  if (!swapped) return onHead(state, stored, input);
  return finish(state, toAcceptedResult(phase.placed));
}

/** Accepts a change whose write identifier a head shows. */
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

/** Notes a doubt where a swap got no answer, and tries again later. */
function onFailure(
  state: AcceptanceState,
  mayHaveTakenEffect: boolean,
  input: AcceptanceContext,
): AcceptanceStep {
  const {phase} = state;
  if (phase.step !== 'swapping' || !mayHaveTakenEffect) {
    return waitBeforeRetry(state, input);
  }
  const doubt = {on: phase.on, placed: phase.placed};
  return waitBeforeRetry({...state, doubt}, input);
}

/** Waits with backoff; past the deadline the change ends. */
function waitBeforeRetry(
  state: AcceptanceState,
  input: AcceptanceContext,
): AcceptanceStep {
  if (isPastDeadline(state, input)) {
    const kind = state.doubt === undefined ? 'not-accepted' : 'unknown';
    return finish(state, {kind});
  }
  const failures = state.failures + 1;
  return {
    state: {...state, failures, phase: {step: 'waiting'}},
    effect: {
      type: 'wait',
      durationMs: computeBackoffMs(RETRY_POLICY, failures, input.random),
    },
  };
}

function isPastDeadline(
  state: AcceptanceState,
  input: AcceptanceContext,
): boolean {
  return input.nowMs >= state.deadlineAtMs;
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

/** Meets an event that does not belong to the phase by reading again. */
function rereadHead(state: AcceptanceState): AcceptanceStep {
  return {
    state: {...state, phase: {step: 'reading'}},
    effect: {type: 'read-head'},
  };
}
