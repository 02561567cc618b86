/**
 * Carries changes of one share record to the store and knows what this proxy
 * may rely on meanwhile.
 *
 * As long as a swap is in doubt, nothing that a read shows can be relied on
 * except a record past the version that the swap expected: the swap in doubt
 * may still take effect on that version. So the same swap is sent until the
 * version moves.
 */
import type {ShareHolder} from './share-plan.js';
import {allowedConnections} from './share-plan.js';
import type {ShareRecord} from './share-record.js';

/** A record with its version in the store. */
export interface StoredShares {
  /** Version of the key in the store; 0 if there is no record. */
  readonly storeVersion: number;
  readonly record: ShareRecord;
}

/** A swap that was sent. */
export interface ShareSwap {
  readonly expectedStoreVersion: number;
  readonly record: ShareRecord;
}

/** What this proxy knows of one share record. */
export interface ShareSwapState {
  /** Newest record that was seen. */
  readonly stored: StoredShares | undefined;
  /** The swap whose answer is awaited or did not come. */
  readonly pending: ShareSwap | undefined;
}

/** Nothing is known yet. */
export const UNKNOWN_SHARES: ShareSwapState = {
  stored: undefined,
  pending: undefined,
};

/** Notes a record that was read, or that an answer to a swap showed. */
export function observeShares(
  state: ShareSwapState,
  seen: StoredShares,
): ShareSwapState {
  const known = state.stored;
  if (known !== undefined && seen.storeVersion < known.storeVersion) {
    return state;
  }
  const {pending} = state;
  const isSettled =
    pending !== undefined && seen.storeVersion > pending.expectedStoreVersion;
  return {stored: seen, pending: isSettled ? undefined : pending};
}

/**
 * Chooses the swap to send next. A swap in doubt is sent again as it was, so
 * that at most one change of this proxy can take effect on one version.
 *
 * @param plan - Plans the change upon the newest record; nothing to change if
 *   it gives nothing.
 * @returns Nothing if no record was read yet or nothing has to be changed.
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
 * How many connections this run may hold to an instance: the least that any
 * outcome of a swap in doubt leaves it.
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
