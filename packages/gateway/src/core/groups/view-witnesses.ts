import {PrimaryPhase} from '@sapphireglade/decisions';
import type {DatabaseGroup} from './database-group.js';
import type {StandingReport} from './fetch-replication-report.js';
import type {GroupMember} from './group-member.js';

/** Returns whether the instance of a report has run since the store last confirmed the record, so that it may verify a view. */
export function mayVouch(
  {storeConfirmation}: DatabaseGroup,
  {standingSinceMs}: Pick<StandingReport, 'standingSinceMs'>,
): boolean {
  return standingSinceMs <= storeConfirmation.recordAtMs;
}

/** Returns whether an instance that is connected may verify a view. */
export function isStandingMember(
  group: DatabaseGroup,
  {pool}: GroupMember,
): boolean {
  const standingSinceMs = pool.standingSinceMs() ?? Infinity;
  return mayVouch(group, {standingSinceMs});
}

/**
 * Returns whether a further confirmation by the store would let more connected
 * instances verify a view.
 */
export function needsConfirmation(group: DatabaseGroup): boolean {
  if (group.record?.record.phase !== PrimaryPhase.Steady) return false;
  // Connections that are opened on demand do not stand for long.
  const connected = [...group.members.values()].filter(
    ({pool}) => pool.shouldKeepWarm && pool.connections > 0,
  );
  return connected.some(member => !isStandingMember(group, member));
}
