import type {LogPosition} from '@sapphireglade/decisions';
import {higherPosition} from '@sapphireglade/decisions';
import type {DatabaseGroup, GroupMember} from '../groups/index.js';

/**
 * Returns a position that the log of an instance has certainly reached by now.
 *
 * @param group - The group, whose record names the term of the primary.
 * @param member - The instance.
 * @returns The position; undefined if none is known.
 */
export function reachedPosition(
  group: DatabaseGroup,
  {instance, shown}: GroupMember,
): LogPosition | undefined {
  const record = group.record?.record;
  // All that a primary writes is of its term, whatever it has shown of it.
  const start =
    record?.primary === instance.id
      ? {term: record.term, position: 0}
      : undefined;
  return higherPosition(shown.position, start);
}
