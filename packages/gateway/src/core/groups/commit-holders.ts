import type {
  GroupInstance,
  LogPosition,
  PrimaryRecord,
} from '@sapphireglade/decisions';
import {higherPosition} from '@sapphireglade/decisions';
import type {GroupMember} from './group-member.js';
import type {MemberRemovals} from './member-removals.js';

/** The instances besides the primary that may hold acknowledged commits. */
export interface CommitHolders {
  /** Those that can be queried. */
  readonly replicas: readonly GroupMember[];
  /** How many others there may be, including the primary. */
  readonly absent: number;
  /**
   * Position that includes what instances confirmed in earlier terms, or before
   * they left; a replica that has not reached it lacks acknowledged commits.
   */
  readonly minimumPosition: LogPosition | undefined;
}

/**
 * Finds the instances besides the primary that may hold acknowledged commits.
 *
 * The record names each instance of the term that left until it bounds what
 * that one confirmed, also for a process that did not see it leave.
 *
 * @param record - The record of the group, if it is known.
 * @param members - The instances that can be used.
 * @param removals - The instances that this process removed.
 * @param nowMs - The time, in milliseconds of the steady clock.
 */
export function findCommitHolders(
  record: PrimaryRecord | undefined,
  members: readonly GroupMember[],
  removals: MemberRemovals,
  nowMs: number,
): CommitHolders {
  const primary = record?.primary;
  const {instances = [], departedPosition} = record?.confirmers ?? {};
  const unlisted = instances.filter(
    each => !members.some(({instance}) => isSame(instance, each)),
  );
  return {
    replicas: members.filter(({instance}) => instance.id !== primary),
    absent: 1 + removals.countExcept(primary, nowMs) + unlisted.length,
    minimumPosition: higherPosition(record?.initialPosition, departedPosition),
  };
}

function isSame(left: GroupInstance, right: GroupInstance): boolean {
  return left.id === right.id && left.bornAtMs === right.bornAtMs;
}
