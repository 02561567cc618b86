import type {InstanceEndpoint} from '../upstream/index.js';

/** What an instance has registered of itself. */
export interface RegisteredInstance extends InstanceEndpoint {
  readonly availabilityZone: string;
  /** Whether it is about to leave and gets no new work. */
  readonly isLeaving: boolean;
  /** Whether it believes that it leads its group. */
  readonly claimsPrimary: boolean;
  /** Statements that it runs at a time. */
  readonly slots: number;
  /** When this incarnation of it started, in Unix milliseconds. */
  readonly bornAtMs: number | undefined;
}
