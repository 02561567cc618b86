import type {LogPosition} from '@sapphireglade/decisions';
import {higherPosition, ReplicationLagEstimate} from '@sapphireglade/decisions';
import type {RegisteredInstance} from '../directory/index.js';
import type {InstancePool} from '../pool/index.js';

/** The highest position that an instance has shown to this process. */
export class ShownPosition {
  private highest: LogPosition | undefined;

  /** Records a position that the instance has reported. */
  record(position: LogPosition): void {
    this.highest = higherPosition(this.highest, position);
  }

  /** The position; undefined if the instance has reported none. */
  get position(): LogPosition | undefined {
    return this.highest;
  }
}

/** An instance of the group and the pool of connections to it. */
export interface GroupMember {
  readonly instance: RegisteredInstance;
  readonly pool: InstancePool;
  /** How far the instance is behind the primary as a replica. */
  readonly lag: ReplicationLagEstimate;
  /** What the instance has shown of its log. */
  readonly shown: ShownPosition;
}

/** Creates a member that has reported nothing yet. */
export function createGroupMember(
  instance: RegisteredInstance,
  pool: InstancePool,
): GroupMember {
  return {
    instance,
    pool,
    lag: new ReplicationLagEstimate(),
    shown: new ShownPosition(),
  };
}
