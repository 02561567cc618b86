/** A live proxy that may own groups. */
export interface OwnerCandidate {
  /** Name of the proxy. */
  readonly name: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** What its VM can carry; see `carryingCapacity`. */
  readonly capacity: number;
}

/** What the owners of one group are planned from. */
export interface OwnerPlanInputs {
  /** Name of the group. */
  readonly group: string;
  /** Availability zones of its instances, in any order. */
  readonly zones: readonly string[];
  /** Connections that each instance accepts from all proxies together. */
  readonly connectionLimit: number;
  /** Every live proxy. */
  readonly candidates: readonly OwnerCandidate[];
  /** How many groups have an instance in an availability zone. */
  readonly countGroupsIn: (zone: string) => number;
  /** Finds the region of an availability zone. */
  readonly regionOf: (zone: string) => string;
}

/** What an entry proxy knows of one owner. */
export interface OwnerEndpoint {
  readonly name: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** Requests that this proxy has sent there and that are not answered. */
  readonly outstandingRequests: number;
  /** Smoothed time that an answer takes, in milliseconds. */
  readonly answerMs: number;
  /** Until when it is asked last, in milliseconds of the process clock. */
  readonly avoidUntilMs: number;
}
