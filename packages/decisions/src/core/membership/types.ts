/** A VM in the platform's list. */
export interface ListedVm {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** State of a VM in the platform's list. */
export type ListedState = 'live' | 'leaving' | 'absent';

/** Reachability of a VM from this process. */
export type Reachability = 'self' | 'reachable' | 'unreachable' | 'unknown';

/** State of one VM, merged from the list and the links. */
export interface MemberRecord {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly listed: ListedState;
  /** Monotonic time since which `listed` is unchanged, in milliseconds. */
  readonly listedSinceMs: number;
  /** Identifier of the run that was last observed on a link, if any. */
  readonly boot: string | undefined;
  /** Whether the last run has reported that it is stopping. */
  readonly isStopping: boolean;
  /** Monotonic time of the last contact, in milliseconds. */
  readonly lastHeardAtMs: number | undefined;
  /** Monotonic time since which attempts fail, in milliseconds. */
  readonly failingSinceMs: number | undefined;
  /** Monotonic time of the last failed attempt, in milliseconds. */
  readonly lastFailedAtMs: number | undefined;
}

/** All VMs known to this process. */
export interface MembershipState {
  /** Name of the VM of this process. */
  readonly self: string;
  readonly members: ReadonlyMap<string, MemberRecord>;
  /** Monotonic time of the first read of the list, in milliseconds. */
  readonly listFirstReadAtMs: number | undefined;
}

/** An input to the membership. */
export type MembershipEvent =
  /** The platform's list arrived, directly or through another proxy. */
  | {readonly type: 'list-read'; readonly vms: readonly ListedVm[]}
  /** A link opened, or an answer arrived on it. */
  | {
      readonly type: 'peer-heard';
      readonly name: string;
      readonly boot: string;
    }
  /** A proxy reported that it is stopping. */
  | {
      readonly type: 'peer-stopping';
      readonly name: string;
      readonly boot: string;
    }
  /** A link closed, or an attempt to reach the proxy failed. */
  | {readonly type: 'peer-failed'; readonly name: string};
