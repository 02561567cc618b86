import type {LogPosition} from '@sapphireglade/decisions';
import {higherPosition, ReplicationLagEstimate} from '@sapphireglade/decisions';
import type {RegisteredInstance} from '../directory/index.js';
import type {InstancePool, ReportedPosition} from '../pool/index.js';

/** What an instance has shown of its log to this process. */
export class ShownPosition {
  private highest: LogPosition | undefined;
  private latestReported: ReportedPosition | undefined;
  private latestWithTerm: ReportedPosition | undefined;

  /** Records a position that the instance has reported. */
  record(reported: ReportedPosition): void {
    this.highest = higherPosition(this.highest, reported.position);
    this.latestReported = later(this.latestReported, reported);
    if (reported.term !== undefined)
      this.latestWithTerm = later(this.latestWithTerm, reported);
  }

  /** The highest position; undefined if the instance has reported none. */
  get position(): LogPosition | undefined {
    return this.highest;
  }

  /** The last report; undefined if there was none. */
  get latest(): ReportedPosition | undefined {
    return this.latestReported;
  }

  /**
   * Returns the term that the instance has followed.
   *
   * @param sinceMs - Since when it has run without a restart, in milliseconds of
   *   the steady clock; an earlier report says nothing of its present log.
   */
  termSince(sinceMs: number): number | undefined {
    const {sentAtMs = -Infinity, term} = this.latestWithTerm ?? {};
    return sentAtMs >= sinceMs ? term : undefined;
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

/** Returns the report whose request was sent later. */
function later(
  known: ReportedPosition | undefined,
  update: ReportedPosition,
): ReportedPosition {
  return known !== undefined && known.sentAtMs > update.sentAtMs
    ? known
    : update;
}
