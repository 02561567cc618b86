/** The state that a proxy publishes about itself. */
export interface MemberRecord {
  /** Name of the proxy. */
  readonly name: string;
  /** Identifies this start of the proxy's process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /**
   * Address at which the proxy accepts links from other proxies, as HOST:PORT.
   */
  readonly peerAddress: string;
  /** Capacity of the proxy's VM relative to the others. */
  readonly capacity: number;
  /** Groups whose primary the proxy cannot use. */
  readonly suspects: readonly string[];
  /**
   * Terms of the primaries of {@link suspects}, in the same order. Undefined in a
   * record of an earlier version.
   */
  readonly suspectedTerms?: readonly number[] | undefined;
  /** Groups to whose primary the proxy may hold no connection; it cannot judge them. */
  readonly unobserved?: readonly string[] | undefined;
}

/**
 * Confirmation of a proxy that it no longer uses the primary of an older
 * record.
 */
export interface ReleaseRecord {
  /** Name of the proxy. */
  readonly member: string;
  /** Group whose primary was released. */
  readonly group: string;
  /** Revision of the record that the proxy has applied. */
  readonly recordRevision: number;
}
