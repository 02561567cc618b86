/** A VM as the platform's list shows it. */
export interface ListedVm {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** What the platform's list says of a VM. */
export type ListedState = 'live' | 'leaving' | 'absent';

/** What this process sees of a VM. */
export type Reachability = 'self' | 'reachable' | 'unreachable' | 'unknown';

/** One VM, as the list and the links show it. */
export interface MemberRecord {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly listed: ListedState;
  /** Monotonic time since which the list says so, in milliseconds. */
  readonly listedSinceMs: number;
  /** Identifies the run that was last seen on a link, if any was. */
  readonly boot: string | undefined;
  /** The last run said that it is stopping. */
  readonly isStopping: boolean;
  /** Monotonic time of the last sign of life, in milliseconds. */
  readonly lastHeardAtMs: number | undefined;
  /** Monotonic time since which attempts fail, in milliseconds. */
  readonly failingSinceMs: number | undefined;
  /** Monotonic time of the last failed attempt, in milliseconds. */
  readonly lastFailedAtMs: number | undefined;
}

/** All VMs that this process knows. */
export interface MembershipState {
  /** Name of the VM of this process. */
  readonly self: string;
  readonly members: ReadonlyMap<string, MemberRecord>;
  /** Monotonic time of the first reading of the list, in milliseconds. */
  readonly listFirstReadAtMs: number | undefined;
}

/** What happened. */
export type MembershipEvent =
  /** The platform's list arrived, directly or through another proxy. */
  | {readonly type: 'list-read'; readonly vms: readonly ListedVm[]}
  /** A link opened, or an answer came over it. */
  | {
      readonly type: 'peer-heard';
      readonly name: string;
      readonly boot: string;
    }
  /** A proxy said that it is stopping. */
  | {
      readonly type: 'peer-stopping';
      readonly name: string;
      readonly boot: string;
    }
  /** A link closed, or an attempt to reach the proxy failed. */
  | {readonly type: 'peer-failed'; readonly name: string};
