import type {InstanceEndpoint} from '../upstream/index.js';

/** The registration of an instance. */
export interface RegisteredInstance extends InstanceEndpoint {
  readonly availabilityZone: string;
  /** Whether the instance is leaving and gets no new work. */
  readonly isLeaving: boolean;
  /** Whether the instance reports to be the primary of its group. */
  readonly claimsPrimary: boolean;
  /** Number of statements that the instance runs concurrently. */
  readonly slots: number;
  /** When this incarnation of the instance started, in Unix milliseconds. */
  readonly bornAtMs: number | undefined;
  /** Rises with each registration of an incarnation, if it is known. */
  readonly sequence?: number | undefined;
}
