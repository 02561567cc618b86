import {comparePositions, majorityOf} from '../groups/index.js';
import type {LogPosition} from '../groups/index.js';
import type {TermObservation, WaitingWrite} from './types.js';
import {ConfirmationState, TERM_VALIDITY_MS} from './types.js';

/** What a write is known by when its primary has answered. */
export interface WaitingWriteOptions {
  readonly position: LogPosition;
  /** Instance that ran it. */
  readonly primary: string;
  /** Names of the group's instances. */
  readonly instances: readonly string[];
  /** When the write was sent to the primary, monotonic, in milliseconds. */
  readonly sentAtMs: number;
  /** When the caller's deadline ends, monotonic, in milliseconds. */
  readonly deadlineAtMs: number;
}

/** Begins to wait for a write; its primary holds it already. */
export function createWaitingWrite(
  answered: WaitingWriteOptions,
): WaitingWrite {
  const {primary, sentAtMs} = answered;
  return {
    ...answered,
    holders: new Set([primary]),
    termObservedAtMs: new Map([[primary, sentAtMs]]),
    supersededInstances: new Set(),
  };
}

/**
 * Takes in what an instance showed.
 *
 * An instance counts as holder only while its log ends in the term of the
 * write and it has granted no higher term: a later log may lack the write. An
 * instance that shows the write was seen after the write was sent, whenever
 * the question was asked.
 */
export function applyTermObservation(
  write: WaitingWrite,
  sight: TermObservation,
): WaitingWrite {
  if (!write.instances.includes(sight.instance)) return write;
  const {term} = write.position;
  if (sight.grantedTerm > term) {
    const gone = new Set(write.supersededInstances).add(sight.instance);
    return {...write, supersededInstances: gone};
  }
  const isHolder = containsWrite(sight.position, write.position);
  const seenAtMs = isHolder
    ? Math.max(sight.askedAtMs, write.sentAtMs)
    : sight.askedAtMs;
  const direct = addObservation(write, sight.instance, seenAtMs, isHolder);
  return addConfirmedReplicas(direct, sight);
}

/**
 * Says where a write stands.
 *
 * The sights of the term expire, so that a process that was paused between
 * confirmation and answer looks again before it acknowledges.
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
    ([instance, seenAtMs]) =>
      !write.supersededInstances.has(instance) &&
      nowMs - seenAtMs <= TERM_VALIDITY_MS,
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
  seenAtMs: number,
  isHolder: boolean,
): WaitingWrite {
  const known = write.termObservedAtMs.get(instance) ?? seenAtMs;
  const latest = Math.max(known, seenAtMs);
  return {
    ...write,
    holders: isHolder ? new Set(write.holders).add(instance) : write.holders,
    termObservedAtMs: new Map(write.termObservedAtMs).set(instance, latest),
  };
}

/** Takes in the replicas that the primary of the write's term vouches for. */
function addConfirmedReplicas(
  write: WaitingWrite,
  sight: TermObservation,
): WaitingWrite {
  if (sight.instance !== write.primary) return write;
  return Object.entries(sight.replicas)
    .filter(([name]) => write.instances.includes(name))
    .filter(([, position]) => containsWrite(position, write.position))
    .reduce(
      (updated, [name]) => addObservation(updated, name, write.sentAtMs, true),
      write,
    );
}
