/** A live proxy that may own groups. */
export interface OwnerCandidate {
  /** Name of the proxy. */
  readonly name: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Capacity of its VM; see `vmCapacity`. */
  readonly capacity: number;
}

/** Inputs for the owner plan of one group. */
export interface OwnerPlanInputs {
  /** Name of the group. */
  readonly group: string;
  /** Availability zones of its instances, in any order. */
  readonly zones: readonly string[];
  /** Connections that each instance accepts from all proxies in total. */
  readonly connectionLimit: number;
  /** Every live proxy. */
  readonly candidates: readonly OwnerCandidate[];
  /** Returns the number of groups with an instance in an availability zone. */
  readonly countGroupsIn: (zone: string) => number;
  /** Returns the region of an availability zone. */
  readonly regionOf: (zone: string) => string;
}

/** State of one owner as cached by an entry proxy. */
export interface OwnerEndpoint {
  readonly name: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Unanswered requests from this proxy to the owner. */
  readonly outstandingRequests: number;
  /** Smoothed response time, in milliseconds. */
  readonly answerMs: number;
  /**
   * Until when other owners are preferred, in milliseconds of the process clock.
   */
  readonly avoidUntilMs: number;
}
