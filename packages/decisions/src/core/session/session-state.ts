import type {LogPosition} from '../groups/index.js';
import {comparePositions, EMPTY_POSITION} from '../groups/index.js';
import type {SessionState} from './types.js';

/** Maximum number of groups in a session. */
export const MAXIMUM_SESSION_GROUPS = 64;

/** The session before its first request. */
export const EMPTY_SESSION: SessionState = {revision: 0, positions: {}};

/** Returns the position that a session has seen in a group. */
export function findSeenPosition(
  session: SessionState,
  group: string,
): LogPosition {
  if (!isListed(session, group)) return EMPTY_POSITION;
  return session.positions[group] ?? EMPTY_POSITION;
}

/**
 * Returns whether the session may have seen a group that it no longer lists.
 *
 * @returns True if a read of the group must see every acknowledged write.
 */
export function requiresLatest(session: SessionState, group: string): boolean {
  if (session.isFolded !== true) return false;
  return !isListed(session, group);
}

/**
 * Records that a session has seen a position.
 *
 * @returns The updated session, with the group as the most recently seen one.
 */
export function recordSeenPosition(
  session: SessionState,
  group: string,
  seen: LogPosition,
): SessionState {
  const entries = listEntries(session).filter(([name]) => name !== group);
  const latest = laterPosition(findSeenPosition(session, group), seen);
  return dropOldestGroups(session, [...entries, [group, latest]]);
}

/**
 * Merges two copies of a session; the later position of each group is kept.
 *
 * A group that only one copy lists is dropped if the other copy is folded, because
 * the other copy may have seen a later position of it.
 *
 * @param left - One copy; its groups are treated as seen longer ago.
 * @param right - The other copy.
 */
export function mergeSessions(
  left: SessionState,
  right: SessionState,
): SessionState {
  const onlyLeft = listEntries(left).filter(
    ([name]) => !isListed(right, name) && !requiresLatest(right, name),
  );
  const fromRight = listEntries(right)
    .filter(([name]) => !requiresLatest(left, name))
    .map(([name, seen]): GroupPositionEntry => [
      name,
      laterPosition(findSeenPosition(left, name), seen),
    ]);
  const isFolded = left.isFolded === true || right.isFolded === true;
  const mergedSession: SessionState = {
    revision: Math.max(left.revision, right.revision),
    positions: {},
    ...(isFolded && {isFolded}),
  };
  return dropOldestGroups(mergedSession, [...onlyLeft, ...fromRight]);
}

type GroupPositionEntry = [name: string, position: LogPosition];

/** Ignores inherited properties, because names such as "constructor" are allowed. */
function isListed(session: SessionState, group: string): boolean {
  return Object.hasOwn(session.positions, group);
}

function listEntries(session: SessionState): GroupPositionEntry[] {
  return Object.entries(session.positions);
}

function laterPosition(left: LogPosition, right: LogPosition): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Replaces the positions and drops the groups seen longest ago above the limit. */
function dropOldestGroups(
  session: SessionState,
  entries: GroupPositionEntry[],
): SessionState {
  const excess = entries.length - MAXIMUM_SESSION_GROUPS;
  if (excess <= 0) {
    return {...session, positions: Object.fromEntries(entries)};
  }
  const kept = entries.slice(excess);
  return {...session, positions: Object.fromEntries(kept), isFolded: true};
}
