/** Splits deltas into pages that fit into frames, and reassembles them. */
import type {ConfigurationDelta, DeltaChange} from './history.js';

/** One page of a delta. */
export interface DeltaPage {
  readonly from: number;
  readonly to: number;
  readonly isFull: boolean;
  readonly changes: readonly DeltaChange[];
  /** Cursor of the next page; null on the last page. */
  readonly nextCursor: number | null;
}

/** The pages of one delta received so far. */
export interface CollectedPages {
  /** The first page, which determines the revisions. */
  readonly first: DeltaPage;
  readonly changes: readonly DeltaChange[];
}

/**
 * Returns one page of a delta.
 *
 * @param delta - The delta.
 * @param cursor - Number of changes in earlier pages; 0 for the first page.
 * @param maximumLength - Maximum page length, in characters of JSON; a single
 *   change that is longer gets its own page.
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
 * Appends a page to the collected pages.
 *
 * @returns The collection, or undefined if the page belongs to another delta
 *   because the sender has a newer revision; collection must then restart.
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

/** Assembles the delta from all of its pages. */
export function assembleDelta(collection: CollectedPages): ConfigurationDelta {
  const {from, to, isFull} = collection.first;
  return {from, to, isFull, changes: collection.changes};
}
