import type {LogPosition} from '../groups/index.js';
import {comparePositions, EMPTY_POSITION} from '../groups/index.js';
import type {SessionState} from './types.js';

/** Most groups that a session lists. */
export const MAXIMUM_SESSION_GROUPS = 64;

/** The session that has seen nothing. */
export const EMPTY_SESSION: SessionState = {revision: 0, positions: {}};

/** The position that a session has seen in a group. */
export function findSeenPosition(
  session: SessionState,
  group: string,
): LogPosition {
  if (!isListed(session, group)) return EMPTY_POSITION;
  return session.positions[group] ?? EMPTY_POSITION;
}

/**
 * Says whether the session may have seen a group that it no longer lists.
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
 * @returns The session, in which the group is now the one seen last.
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
 * Joins what two copies of a session have seen, by maximum.
 *
 * A group that only one copy lists is left out if the other copy is folded,
 * because that one may have seen a later position of it.
 *
 * @param left - One copy; its groups count as seen longer ago.
 * @param right - The other copy.
 */
export function mergeSessions(
  left: SessionState,
  right: SessionState,
): SessionState {
  const onlyLeft = listEntries(left).filter(
    ([name]) => !isListed(right, name) && !requiresLatest(right, name),
  );
  const merged = listEntries(right)
    .filter(([name]) => !requiresLatest(left, name))
    .map(([name, seen]): GroupPositionEntry => [
      name,
      laterPosition(findSeenPosition(left, name), seen),
    ]);
  const isFolded = left.isFolded === true || right.isFolded === true;
  const joined: SessionState = {
    revision: Math.max(left.revision, right.revision),
    positions: {},
    ...(isFolded && {isFolded}),
  };
  return dropOldestGroups(joined, [...onlyLeft, ...merged]);
}

type GroupPositionEntry = [name: string, position: LogPosition];

/** Names such as "constructor" are allowed, so inherited properties count not. */
function isListed(session: SessionState, group: string): boolean {
  return Object.hasOwn(session.positions, group);
}

function listEntries(session: SessionState): GroupPositionEntry[] {
  return Object.entries(session.positions);
}

function laterPosition(left: LogPosition, right: LogPosition): LogPosition {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Replaces the positions, leaving out the groups seen longest ago. */
function dropOldestGroups(
  session: SessionState,
  entries: GroupPositionEntry[],
): SessionState {
  const surplus = entries.length - MAXIMUM_SESSION_GROUPS;
  if (surplus <= 0) {
    return {...session, positions: Object.fromEntries(entries)};
  }
  const kept = entries.slice(surplus);
  return {...session, positions: Object.fromEntries(kept), isFolded: true};
}
