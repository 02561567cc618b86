/**
 * Writes changes of one share record to the store by compare-and-swap, and
 * tracks the connections that are guaranteed to this proxy meanwhile.
 *
 * While the outcome of a swap is unknown, only a record with a later version
 * than the swap expected is reliable, because the swap may still take effect on
 * the expected version. The same swap is therefore sent again until the version
 * changes.
 */
import type {ShareHolder} from './share-plan.js';
import {allowedConnections} from './share-plan.js';
import type {ShareRecord} from './share-record.js';

/** A record and its version in the store. */
export interface StoredShares {
  /** Version of the key in the store; 0 if there is no record. */
  readonly storeVersion: number;
  readonly record: ShareRecord;
}

/** A compare-and-swap of the record. */
export interface ShareSwap {
  readonly expectedStoreVersion: number;
  readonly record: ShareRecord;
}

/** State of one share record as cached by this proxy. */
export interface ShareSwapState {
  /** Newest record that was read. */
  readonly stored: StoredShares | undefined;
  /** Swap whose outcome is unknown: its answer is pending or was lost. */
  readonly pending: ShareSwap | undefined;
}

/** State before the first read. */
export const UNKNOWN_SHARES: ShareSwapState = {
  stored: undefined,
  pending: undefined,
};

/** Applies a record from a read or from the answer to a swap. */
export function observeShares(
  state: ShareSwapState,
  observed: StoredShares,
): ShareSwapState {
  const known = state.stored;
  if (known !== undefined && observed.storeVersion < known.storeVersion) {
    return state;
  }
  const {pending} = state;
  const isSettled =
    pending !== undefined &&
    observed.storeVersion > pending.expectedStoreVersion;
  return {stored: observed, pending: isSettled ? undefined : pending};
}

/**
 * Returns the swap to send next. A swap with an unknown outcome is sent again
 * unchanged, so that at most one change of this proxy can take effect on one
 * version.
 *
 * @param plan - Plans the change to the newest record; returns undefined if
 *   nothing has to change.
 * @returns The swap, or undefined if no record was read yet or nothing has to
 *   change.
 */
export function nextShareSwap(
  state: ShareSwapState,
  plan: (record: ShareRecord) => ShareRecord | undefined,
): {readonly state: ShareSwapState; readonly swap: ShareSwap} | undefined {
  const {stored, pending} = state;
  if (pending !== undefined) return {state, swap: pending};
  if (stored === undefined) return undefined;
  const record = plan(stored.record);
  if (record === undefined) return undefined;
  const swap = {expectedStoreVersion: stored.storeVersion, record};
  return {state: {...state, pending: swap}, swap};
}

/**
 * Returns how many connections this run may hold to an instance: the smallest
 * number that any outcome of the pending swap allows.
 */
export function guaranteedConnections(
  state: ShareSwapState,
  self: ShareHolder,
  instance: string,
): number {
  if (state.stored === undefined) return 0;
  const {record} = state.stored;
  const allowed = allowedConnections(record, self, instance);
  if (state.pending === undefined) return allowed;
  const pending = allowedConnections(state.pending.record, self, instance);
  return Math.min(allowed, pending);
}
