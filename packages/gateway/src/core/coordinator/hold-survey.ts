/** The ids of the instances that were asked whether they are still held, and of those that answered. */
export interface HoldConfirmation {
  readonly asked: readonly string[];
  readonly answered: readonly string[];
}

/** What instances answered that were asked together. */
export interface Survey {
  readonly answered: readonly string[];
  /** The instances that are not as they reported last. */
  readonly changed: readonly string[];
  readonly isAnyLeading: boolean;
}

/** The end of all views of the old primary, beyond which every replica was held. */
export interface ViewsEnd {
  /** Time of the steady clock, in milliseconds. */
  readonly atMs: number;
  /** The replicas. */
  readonly held: readonly string[];
}
