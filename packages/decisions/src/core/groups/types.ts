/** A position in a group's log. */
export interface LogPosition {
  /** Term of the entry. */
  readonly term: number;
  /** Index of the entry, from 1; 0 is the empty log. */
  readonly position: number;
}

/** Position in a group's log at which a term began. */
export interface TermStart {
  /** The term. */
  readonly term: number;
  /** Last position before the first entry of the term. */
  readonly position: number;
}

/** Instances of which a majority confirms the writes of a term. */
export interface VoterSet {
  /** Term for which the set was last proposed. */
  readonly term: number;
  /** Names of the instances. */
  readonly instances: readonly string[];
  /** Version of the declaration from which the set was taken, if known. */
  readonly version?: number | undefined;
}

/** The current primary of a group. A view with a higher term wins. */
export interface GroupView {
  /** Name of the group. */
  readonly group: string;
  /** Term of the primary. */
  readonly term: number;
  /** Name of the primary instance. */
  readonly primary: string;
  /** Starts of the latest few terms, ascending. */
  readonly termStarts: readonly TermStart[];
  /**
   * The voters of the term, then earlier sets that the next term needs as well.
   * Absent in a view of a process that does not know them.
   */
  readonly voterSets?: readonly VoterSet[];
}

/** Role of an instance in its group. */
export const InstanceRole = {
  Primary: 'primary',
  Replica: 'replica',
} as const;

/** One of the roles. */
export type InstanceRole = (typeof InstanceRole)[keyof typeof InstanceRole];
