import type {GroupView, LogPosition} from './types.js';

/** The position before every entry. */
export const EMPTY_POSITION: LogPosition = {term: 0, position: 0};

/**
 * Orders two positions by term, then by index.
 *
 * @returns A negative number, zero or a positive number, as for sorting.
 */
export function comparePositions(
  left: LogPosition,
  right: LogPosition,
): number {
  return left.term - right.term || left.position - right.position;
}

/** Formats a position as TERM.NUMBER for logs. */
export function formatPosition({term, position}: LogPosition): string {
  return `${term}.${position}`;
}

/**
 * Returns the newer of two views.
 *
 * @param known - The current view, if any.
 * @param update - The received view.
 * @returns The view with the higher term; `known` if the terms are equal.
 */
export function newerView(
  known: GroupView | undefined,
  update: GroupView,
): GroupView {
  if (known === undefined) return update;
  return update.term > known.term ? update : known;
}

/**
 * Returns how many instances form a majority.
 *
 * @param instances - Number of instances in the group.
 */
export function majorityOf(instances: number): number {
  return Math.floor(instances / 2) + 1;
}
