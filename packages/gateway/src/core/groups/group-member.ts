import type {ReplicationLagEstimate} from '@sapphireglade/decisions';
import type {RegisteredInstance} from '../directory/index.js';
import type {InstancePool} from '../pool/index.js';

/** An instance of the group and the pool of connections to it. */
export interface GroupMember {
  readonly instance: RegisteredInstance;
  readonly pool: InstancePool;
  /** How far the instance is behind the primary as a replica. */
  readonly lag: ReplicationLagEstimate;
}
