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
 * @returns The view with the higher term, or the one that has the voters if the
 *   terms are equal; otherwise `known`.
 */
export function newerView(
  known: GroupView | undefined,
  update: GroupView,
): GroupView {
  if (known === undefined || update.term > known.term) return update;
  const addsVoters =
    update.term === known.term &&
    known.voterSets === undefined &&
    update.voterSets !== undefined;
  return addsVoters ? update : known;
}
