/** Cuts deltas into pages that fit into frames, and joins them again. */
import type {ConfigurationDelta, DeltaChange} from './history.js';

/** A part of a delta. */
export interface DeltaPage {
  readonly from: number;
  readonly to: number;
  readonly isFull: boolean;
  readonly changes: readonly DeltaChange[];
  /** Where the next page begins; null if this is the last. */
  readonly nextCursor: number | null;
}

/** The pages of one delta that have arrived so far. */
export interface CollectedPages {
  /** The first page, which fixes the revisions. */
  readonly first: DeltaPage;
  readonly changes: readonly DeltaChange[];
}

/**
 * Cuts one page out of a delta.
 *
 * @param delta - The delta.
 * @param cursor - How many changes earlier pages held; 0 for the first page.
 * @param maximumLength - Longest page, in characters of JSON; a single change
 *   that is longer gets a page of its own.
 */
export function slicePage(
  delta: ConfigurationDelta,
  cursor: number,
  maximumLength: number,
): DeltaPage {
  let length = 0;
  let end = cursor;
  while (end < delta.changes.length) {
    length += JSON.stringify(delta.changes[end]).length;
    if (length > maximumLength && end > cursor) break;
    end += 1;
  }
  return {
    from: delta.from,
    to: delta.to,
    isFull: delta.isFull,
    changes: delta.changes.slice(cursor, end),
    nextCursor: end < delta.changes.length ? end : null,
  };
}

/**
 * Adds a page to those before it.
 *
 * @returns The collection, or nothing if the page belongs to another delta,
 *   because the sender has moved on; collecting must begin again then.
 */
export function appendPage(
  collection: CollectedPages | undefined,
  page: DeltaPage,
): CollectedPages | undefined {
  if (collection === undefined) return {first: page, changes: page.changes};
  const {first} = collection;
  const isSameDelta =
    first.from === page.from &&
    first.to === page.to &&
    first.isFull === page.isFull;
  if (!isSameDelta) return undefined;
  return {first, changes: [...collection.changes, ...page.changes]};
}

/** The delta that a complete collection makes. */
export function assembleDelta(collection: CollectedPages): ConfigurationDelta {
  const {from, to, isFull} = collection.first;
  return {from, to, isFull, changes: collection.changes};
}
