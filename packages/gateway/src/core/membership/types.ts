/** What a proxy publishes of itself. */
export interface MemberRecord {
  /** Name of the proxy. */
  readonly name: string;
  /** Identifies this start of its process. */
  readonly incarnation: string;
  readonly availabilityZone: string;
  /** Where it accepts links from other proxies, as HOST:PORT. */
  readonly peerAddress: string;
  /** What its VM can carry, compared with the others. */
  readonly capacity: number;
  /** Groups whose primary it cannot use. */
  readonly suspects: readonly string[];
}

/** A proxy's word that it no longer uses the primary of an older record. */
export interface ReleaseRecord {
  /** Name of the proxy. */
  readonly member: string;
  /** Group that it speaks of. */
  readonly group: string;
  /** Revision of the record that it has taken in. */
  readonly recordRevision: number;
}
