import type {GroupView, LogPosition, TermStart} from '../groups/index.js';

/**
 * Translates a position of an old term to the log of the current term.
 *
 * A change of primary may have truncated entries that a session has read. The
 * session then requires the current log only up to where it is identical to the
 * log that the session saw: at most the start of the next term. The term of the
 * result is the term of the entry at this index in the current log, because an old
 * term may have no entry in it.
 *
 * @param position - Position that the session has seen.
 * @param view - View of the group with its primary and the starts of its terms.
 * @returns The position that instances must have reached; unchanged if it is of
 *   the current term or a newer one.
 */
export function clampPosition(
  position: LogPosition,
  view: GroupView,
): LogPosition {
  if (position.term >= view.term) return position;
  const laterStarts = view.termStarts
    .filter(({term}) => term > position.term)
    .map(start => start.position);
  const index = Math.min(position.position, ...laterStarts);
  return {
    term: termOfEntry(index, position.term, view.termStarts),
    position: index,
  };
}

/** Finds the term of the entry at an index of the current log. */
function termOfEntry(
  index: number,
  fallback: number,
  termStarts: readonly TermStart[],
): number {
  const lastStart = termStarts.findLast(start => start.position < index);
  return lastStart?.term ?? Math.min(fallback, termStarts[0]?.term ?? fallback);
}
