import type {InstanceCandidate} from '@sapphireglade/decisions';
import type {GroupMember} from './group-member.js';

/**
 * Describes a member as a candidate for instance selection.
 *
 * @param member - The member.
 * @param isPaidLink - Whether its traffic crosses a paid link.
 * @param catchUpMs - Expected time until it shows the position that the read
 *   needs, in milliseconds.
 * @param isPrimary - Whether it is the primary of the group.
 */
export function toInstanceCandidate(
  {instance, pool}: GroupMember,
  isPaidLink: boolean,
  catchUpMs: number,
  isPrimary = false,
): InstanceCandidate {
  return {
    id: instance.id,
    isPrimary,
    catchUpMs,
    roundTripMs: pool.roundTripMs,
    isPaidLink,
    queued: pool.queueLength,
    connections: pool.connections,
    free: pool.idleCount,
    holdingMs: pool.holdingMs,
    lastFailedAtMs: pool.lastFailedAtMs,
  };
}
