import {comparePositions, majorityOf} from '../groups/index.js';
import type {LogPosition} from '../groups/index.js';
import type {TermObservation, WaitingWrite} from './types.js';
import {ConfirmationState, TERM_VALIDITY_MS} from './types.js';

/** Description of a write whose primary has answered. */
export interface WaitingWriteOptions {
  readonly position: LogPosition;
  /** Instance that ran the write. */
  readonly primary: string;
  /** Names of the voters of the term. */
  readonly instances: readonly string[];
  /** When the write was sent to the primary, monotonic, in milliseconds. */
  readonly sentAtMs: number;
  /** When the caller's deadline ends, monotonic, in milliseconds. */
  readonly deadlineAtMs: number;
}

/**
 * Creates the state of a waiting write. Its primary already has it, and counts
 * if it is one of the voters.
 */
export function createWaitingWrite(options: WaitingWriteOptions): WaitingWrite {
  const {primary, instances, sentAtMs} = options;
  const voters = instances.filter(name => name === primary);
  return {
    ...options,
    holders: new Set(voters),
    termObservedAtMs: new Map(voters.map(name => [name, sentAtMs])),
    supersededInstances: new Set(),
  };
}

/**
 * Applies a report of an instance.
 *
 * An instance counts as a holder only while its log ends in the term of the
 * write and it has granted no higher term, because a later log may lack the
 * write. A report that includes the write is newer than the write itself, even
 * if the request for it was sent earlier.
 */
export function applyTermObservation(
  write: WaitingWrite,
  observation: TermObservation,
): WaitingWrite {
  const {term} = write.position;
  const isSuperseded = observation.grantedTerm > term;
  if (!write.instances.includes(observation.instance)) {
    return isSuperseded ? write : addConfirmedReplicas(write, observation);
  }
  if (isSuperseded) {
    const superseded = new Set(write.supersededInstances).add(
      observation.instance,
    );
    return {...write, supersededInstances: superseded};
  }
  const isHolder = containsWrite(observation.position, write.position);
  const observedAtMs = isHolder
    ? Math.max(observation.askedAtMs, write.sentAtMs)
    : observation.askedAtMs;
  const updatedWrite = addObservation(
    write,
    observation.instance,
    observedAtMs,
    isHolder,
  );
  return addConfirmedReplicas(updatedWrite, observation);
}

/**
 * Returns the confirmation state of a write.
 *
 * Observations of the term expire, so that a process that was paused between
 * confirmation and answer observes the term again before it acknowledges.
 *
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function evaluateConfirmation(
  write: WaitingWrite,
  nowMs: number,
): ConfirmationState {
  const majority = majorityOf(write.instances.length);
  if (nowMs >= write.deadlineAtMs) return ConfirmationState.Expired;
  if (write.supersededInstances.size >= majority)
    return ConfirmationState.Superseded;
  if (write.holders.size < majority) return ConfirmationState.Waiting;
  const recent = [...write.termObservedAtMs].filter(
    ([instance, observedAtMs]) =>
      !write.supersededInstances.has(instance) &&
      nowMs - observedAtMs <= TERM_VALIDITY_MS,
  );
  return recent.length >= majority
    ? ConfirmationState.Confirmed
    : ConfirmationState.Stale;
}

/** Whether a log of the same term reaches the position of the write. */
function containsWrite(log: LogPosition, write: LogPosition): boolean {
  return log.term === write.term && comparePositions(log, write) >= 0;
}

function addObservation(
  write: WaitingWrite,
  instance: string,
  observedAtMs: number,
  isHolder: boolean,
): WaitingWrite {
  const known = write.termObservedAtMs.get(instance) ?? observedAtMs;
  const latest = Math.max(known, observedAtMs);
  return {
    ...write,
    holders: isHolder ? new Set(write.holders).add(instance) : write.holders,
    termObservedAtMs: new Map(write.termObservedAtMs).set(instance, latest),
  };
}

/** Adds the replicas that the write's primary reports as confirmed. */
function addConfirmedReplicas(
  write: WaitingWrite,
  observation: TermObservation,
): WaitingWrite {
  if (observation.instance !== write.primary) return write;
  return Object.entries(observation.replicas)
    .filter(([name]) => write.instances.includes(name))
    .filter(([, position]) => containsWrite(position, write.position))
    .reduce(
      (updated, [name]) => addObservation(updated, name, write.sentAtMs, true),
      write,
    );
}
