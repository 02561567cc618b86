import type {HybridTimestamp} from './types.js';

/** The smallest timestamp. */
export const ZERO_TIMESTAMP: HybridTimestamp = {wallMs: 0, counter: 0};

/**
 * Advances a clock for a local event.
 *
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014, algorithm for a
 * local or send event.
 *
 * @param clock - The latest timestamp of this process.
 * @param wallMs - The wall clock time, in milliseconds.
 * @returns The next timestamp, greater than `clock`.
 */
export function advanceTimestamp(
  clock: HybridTimestamp,
  wallMs: number,
): HybridTimestamp {
  if (wallMs > clock.wallMs) return {wallMs, counter: 0};
  return {wallMs: clock.wallMs, counter: clock.counter + 1};
}

/**
 * Advances a clock for a received message.
 *
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014, algorithm for a
 * receive event.
 *
 * @param clock - The latest timestamp of this process.
 * @param remote - The timestamp of the message.
 * @param wallMs - The wall clock time, in milliseconds.
 * @returns The next timestamp, greater than `clock` and `remote`.
 */
export function mergeRemoteTimestamp(
  clock: HybridTimestamp,
  remote: HybridTimestamp,
  wallMs: number,
): HybridTimestamp {
  const latest = compareTimestamps(clock, remote) >= 0 ? clock : remote;
  return advanceTimestamp(latest, wallMs);
}

/**
 * Compares two timestamps.
 *
 * @returns A negative number, zero or a positive number, as required for sorting.
 */
export function compareTimestamps(
  left: HybridTimestamp,
  right: HybridTimestamp,
): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
